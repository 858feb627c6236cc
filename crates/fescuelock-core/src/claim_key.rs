//! Deduplication keys and fingerprints of requests that carry an idempotency key.
//!
//! A claim is the stored record by which one node reserves the right to run such a request.

use std::fmt;
use std::str::FromStr;

use sha2::{Digest, Sha256};

use crate::ids::RequestId;
use crate::{Error, Result};

/// `ClaimKey` identifies a request with an idempotency key, on whichever node it arrives.
///
/// It is a SHA-256 digest, written as 64 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimKey([u8; 32]);

impl ClaimKey {
    /// Derives the key from the team's name and the caller's idempotency key.
    ///
    /// The digest includes the team, so one team cannot collide with the claims of another.
    pub fn of(team: &str, idempotency_key: &str) -> Self {
        let mut hasher = Sha256::new();
        hasher.update(team.len().to_be_bytes());
        hasher.update(team.as_bytes());
        hasher.update(idempotency_key.as_bytes());
        ClaimKey(hasher.finalize().into())
    }

    /// Returns the request id, which is the same for all duplicates of the request.
    pub fn request_id(&self) -> RequestId {
        RequestId::from_digest(&self.0)
    }

    /// Returns the index of the shard that stores the claim, in `0..shards`.
    pub fn shard(&self, shards: u16) -> u16 {
        let tail = u16::from_be_bytes([self.0[30], self.0[31]]);
        tail % shards.max(1)
    }
}

impl fmt::Display for ClaimKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&hex::encode(self.0))
    }
}

impl FromStr for ClaimKey {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let mut digest = [0; 32];
        hex::decode_to_slice(text, &mut digest)
            .map_err(|_| Error::malformed(text, "a claim key of 64 hexadecimal digits"))?;
        Ok(ClaimKey(digest))
    }
}

/// Returns a fingerprint of the request as 32 hexadecimal digits.
///
/// Two requests with the same idempotency key and different fingerprints are not duplicates: the
/// caller has reused the key.
pub fn fingerprint(method: &str, path: &str, body: &[u8]) -> String {
    let mut hasher = Sha256::new();
    for part in [method.as_bytes(), path.as_bytes(), body] {
        hasher.update(part.len().to_be_bytes());
        hasher.update(part);
    }
    hex::encode(&hasher.finalize()[..16])
}
