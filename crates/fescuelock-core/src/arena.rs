//! An append-only arena of named items that are addressed by typed `Copy` indices.

use std::collections::HashMap;
use std::marker::PhantomData;

/// `ArenaKey` is a typed index into an [`Arena`], implemented by the types that
/// [`arena_key!`](crate::arena_key!) declares.
pub trait ArenaKey: Copy {
    /// Builds a key from an index into the arena.
    fn from_index(index: usize) -> Self;
    /// Returns the index into the arena.
    fn index(self) -> usize;
}

/// Declares a `Copy` key type for an [`Arena`].
#[macro_export]
macro_rules! arena_key {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(u32);

        impl $crate::arena::ArenaKey for $name {
            fn from_index(index: usize) -> Self {
                $name(u32::try_from(index).expect("an arena holds fewer than 2^32 items"))
            }

            fn index(self) -> usize {
                self.0 as usize
            }
        }
    };
}

/// `Arena` stores items in insertion order and looks them up by key or by name.
#[derive(Debug, Clone)]
pub struct Arena<K, T> {
    items: Vec<T>,
    names: HashMap<String, K>,
    key: PhantomData<K>,
}

impl<K, T> Default for Arena<K, T> {
    fn default() -> Self {
        Arena { items: Vec::new(), names: HashMap::new(), key: PhantomData }
    }
}

impl<K: ArenaKey, T> Arena<K, T> {
    /// Inserts an item under a unique name and returns its key.
    ///
    /// # Errors
    ///
    /// Returns the key of the existing item if the name is taken. The new item is dropped.
    pub fn insert(&mut self, name: &str, item: T) -> std::result::Result<K, K> {
        if let Some(&existing) = self.names.get(name) {
            return Err(existing);
        }
        let key = K::from_index(self.items.len());
        self.items.push(item);
        self.names.insert(name.to_owned(), key);
        Ok(key)
    }

    /// Looks up the key of the item with the given name.
    pub fn find(&self, name: &str) -> Option<K> {
        self.names.get(name).copied()
    }

    /// Returns the item of a key.
    ///
    /// # Panics
    ///
    /// Panics if the index of the key is out of range, as it may be for a key of another arena.
    pub fn at(&self, key: K) -> &T {
        &self.items[key.index()]
    }

    /// Returns a mutable reference to the item of a key.
    ///
    /// # Panics
    ///
    /// Panics if the index of the key is out of range, as it may be for a key of another arena.
    pub fn at_mut(&mut self, key: K) -> &mut T {
        &mut self.items[key.index()]
    }

    /// Iterates over keys and items in insertion order.
    pub fn iter(&self) -> impl Iterator<Item = (K, &T)> {
        self.items.iter().enumerate().map(|(index, item)| (K::from_index(index), item))
    }

    /// Returns the number of items.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns `true` if the arena holds no items.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }
}
