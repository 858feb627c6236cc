//! Claim records, and the operations on a shard of them.

use std::collections::BTreeMap;

use fescuelock_core::claim_key::ClaimKey;
use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};

use crate::bills::Bill;

/// `StoredResult` is the response of a finished call, kept to be replayed to duplicates.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResult {
    /// HTTP status of the response.
    pub status: u16,
    /// Content type of the response.
    pub content_type: Option<String>,
    /// Body of the response, if it was text and small enough to be kept.
    pub body: Option<String>,
    /// Bill of the call, if the call is billed.
    pub bill: Option<Bill>,
}

/// `ClaimRecord` records which attempt of a call with an idempotency key may be sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Identifies the attempt that holds the claim.
    pub nonce: String,
    /// Node that recorded the claim.
    pub node: String,
    /// Time of the claim, in milliseconds since the Unix epoch.
    pub claimed_ms: u64,
    /// Fingerprint of the request, which detects reuse of the key for another request.
    pub fingerprint: String,
    /// The response, once the call has finished.
    pub result: Option<StoredResult>,
}

/// `Shard` is the value of one object that holds claims.
#[serde_as]
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shard {
    /// Records by claim key.
    #[serde_as(as = "BTreeMap<DisplayFromStr, _>")]
    pub claims: BTreeMap<ClaimKey, ClaimRecord>,
}

/// `Operation` is one operation on the claim of a key.
#[derive(Debug, Clone)]
pub enum Operation {
    /// Records a claim unless the key already has one.
    Claim(ClaimRecord),
    /// Stores the response of the claim with the nonce.
    Finish {
        /// The nonce of the claim.
        nonce: String,
        /// The response.
        result: StoredResult,
    },
    /// Removes the claim with the nonce, whose request was never sent.
    Release {
        /// The nonce of the claim.
        nonce: String,
    },
    /// Reads the record of the key without changing it.
    Read,
}

/// `ClaimState` is the state of a key's claim after an operation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimState {
    /// The claim with the operation's nonce is recorded.
    Granted,
    /// Another attempt holds the claim and has no result yet.
    InProgress,
    /// The call has finished with the given result.
    Finished(StoredResult),
    /// The key was used for a different request.
    FingerprintMismatch,
    /// The key has no claim.
    Unclaimed,
}

impl Shard {
    /// Applies an operation idempotently.
    ///
    /// Returns the state of the claim and whether the shard must be written.
    pub fn apply(&mut self, key: ClaimKey, operation: &Operation) -> (ClaimState, bool) {
        let record = self.claims.get_mut(&key);
        match (operation, record) {
            (Operation::Claim(claim), None) => {
                self.claims.insert(key, claim.clone());
                (ClaimState::Granted, true)
            }

            (Operation::Claim(claim), Some(record)) if record.nonce == claim.nonce => {
                (ClaimState::Granted, false)
            }

            (Operation::Claim(claim), Some(record)) if record.fingerprint != claim.fingerprint => {
                (ClaimState::FingerprintMismatch, false)
            }

            (Operation::Finish { nonce, result }, Some(record))
                if record.nonce == *nonce && record.result.is_none() =>
            {
                record.result = Some(result.clone());
                (ClaimState::Finished(result.clone()), true)
            }

            (Operation::Release { nonce }, Some(record))
                if record.nonce == *nonce && record.result.is_none() =>
            {
                self.claims.remove(&key);
                (ClaimState::Unclaimed, true)
            }

            // The shard is written even though nothing is removed: the new object version makes a
            // delayed write of the claim fail.
            (Operation::Release { .. }, None) => (ClaimState::Unclaimed, true),

            (_, None) => (ClaimState::Unclaimed, false),

            (_, Some(record)) => (record.state(), false),
        }
    }

    /// Removes the claims that are older than the retention time and returns their bills.
    pub fn remove_expired(&mut self, now_ms: u64, retention_ms: u64) -> Vec<Bill> {
        let is_expired =
            |record: &ClaimRecord| record.claimed_ms.saturating_add(retention_ms) <= now_ms;
        self.claims
            .extract_if(.., |_, record| is_expired(record))
            .filter_map(|(_, record)| record.result?.bill)
            .collect()
    }
}

impl ClaimRecord {
    fn state(&self) -> ClaimState {
        match &self.result {
            Some(result) => ClaimState::Finished(result.clone()),
            None => ClaimState::InProgress,
        }
    }
}
