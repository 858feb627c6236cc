//! Identifiers: `Copy` keys into the arenas of a configuration snapshot, and ids that are exchanged
//! between processes.

use std::fmt;
use std::str::FromStr;

use rand::Rng;
use sha2::{Digest, Sha256};

use crate::{Error, Result, arena_key};

arena_key! {
    /// `TeamKey` identifies a team of callers within one configuration snapshot.
    TeamKey
}
arena_key! {
    /// `ModelKey` identifies a model within one configuration snapshot.
    ModelKey
}
arena_key! {
    /// `VersionKey` identifies a version of a model within one configuration snapshot.
    VersionKey
}
arena_key! {
    /// `UpstreamKey` identifies a model engine or a VM of a plain service within one configuration
    /// snapshot.
    UpstreamKey
}
arena_key! {
    /// `ServiceKey` identifies a plain service within one configuration snapshot.
    ServiceKey
}
arena_key! {
    /// `ZoneKey` identifies an availability zone within one configuration snapshot.
    ZoneKey
}

/// `RequestId` identifies one request of a caller, in all of its sends and in its bill.
///
/// It is written as 32 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(u128);

impl RequestId {
    /// Generates a random id.
    pub fn random(rng: &mut impl Rng) -> Self {
        RequestId((u128::from(rng.next_u64()) << 64) | u128::from(rng.next_u64()))
    }

    /// Returns the id as its upper and lower 64 bits.
    pub fn to_halves(self) -> (u64, u64) {
        let low = self.0 & u128::from(u64::MAX);
        let low = u64::try_from(low).expect("the upper bits are masked");
        let high = u64::try_from(self.0 >> 64).expect("the lower bits are shifted out");
        (high, low)
    }

    /// Builds an id from its upper and lower 64 bits.
    pub fn from_halves(high: u64, low: u64) -> Self {
        RequestId((u128::from(high) << 64) | u128::from(low))
    }

    /// Derives the id of a request with an idempotency key, so that its duplicates share one bill.
    pub fn from_digest(digest: &[u8; 32]) -> Self {
        let mut head = [0; 16];
        head.copy_from_slice(&digest[..16]);
        RequestId(u128::from_be_bytes(head))
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

impl FromStr for RequestId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let malformed = || Error::malformed(text, "a request id of 32 hexadecimal digits");
        if text.len() != 32 {
            return Err(malformed());
        }
        u128::from_str_radix(text, 16).map(RequestId).map_err(|_| malformed())
    }
}

/// `Generation` orders configurations. It is the version of the rules object in the platform store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Generation(pub u64);

impl fmt::Display for Generation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

impl FromStr for Generation {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        text.parse()
            .map(Generation)
            .map_err(|_| Error::malformed(text, "a generation, a whole number"))
    }
}

/// `KeyHash` is the SHA-256 digest of a secret key, written as `sha256:` and 64 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Hashes a secret key.
    pub fn of(secret: &str) -> Self {
        KeyHash(Sha256::digest(secret.as_bytes()).into())
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "sha256:{}", hex::encode(self.0))
    }
}

impl FromStr for KeyHash {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let malformed = || Error::malformed(text, "`sha256:` and 64 hexadecimal digits");
        let digits = text.strip_prefix("sha256:").ok_or_else(malformed)?;
        let mut digest = [0; 32];
        hex::decode_to_slice(digits, &mut digest).map_err(|_| malformed())?;
        Ok(KeyHash(digest))
    }
}
