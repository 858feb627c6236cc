//! Messages between nodes, encoded in CBOR.

use fescuelock_core::ids::RequestId;
use fescuelock_core::units::Usage;
use fescuelock_store::bills::Bill;
use serde::{Deserialize, Serialize};

use crate::members::Member;
use crate::{Error, Result};

/// `Message` is a message that nodes exchange on an authenticated link.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The sender is alive.
    #[serde(rename = "h")]
    Heartbeat(Heartbeat),
    /// Entries of the membership table, to be merged.
    #[serde(rename = "m")]
    Members(Vec<Member>),
    /// Requests the rules if the peer has a generation above the given one.
    #[serde(rename = "q")]
    RulesRequest(u64),
    /// The generation and the text of the rules.
    #[serde(rename = "r")]
    Rules(u64, String),
    /// Requests that the peer keeps replicas of bills until they are recorded. The acknowledgement
    /// repeats the number.
    #[serde(rename = "b")]
    Replicate(u64, Vec<BillReplica>),
    /// Acknowledges that the bills with the number are replicated.
    #[serde(rename = "a")]
    ReplicateAck(u64),
    /// The bills of these requests are recorded, so their replicas can be removed.
    #[serde(rename = "d")]
    Release(Vec<ReplicaId>),
}

/// `Heartbeat` summarises the sender's state, so that the receiver can detect that it is behind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Generation of the active rules.
    #[serde(rename = "g")]
    pub generation: u64,
    /// Hash of the membership table.
    #[serde(rename = "m")]
    pub members_digest: u64,
}

/// `ReplicaId` identifies a replicated bill by its request's id, as two 64-bit halves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ReplicaId(u64, u64);

/// `BillReplica` is the compact form of a replicated bill, encoded without field names.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BillReplica(ReplicaId, String, String, u64, u64, u64, u64);

impl From<RequestId> for ReplicaId {
    fn from(id: RequestId) -> Self {
        let (high, low) = id.to_halves();
        ReplicaId(high, low)
    }
}

impl From<ReplicaId> for RequestId {
    fn from(id: ReplicaId) -> Self {
        RequestId::from_halves(id.0, id.1)
    }
}

impl From<&Bill> for BillReplica {
    fn from(bill: &Bill) -> Self {
        BillReplica(
            bill.request.into(),
            bill.team.clone(),
            bill.serving.clone(),
            bill.usage.input_tokens,
            bill.usage.output_tokens,
            bill.cost_micros,
            bill.at_ms,
        )
    }
}

impl From<BillReplica> for Bill {
    fn from(replica: BillReplica) -> Self {
        let BillReplica(request, team, serving, input_tokens, output_tokens, cost_micros, at_ms) =
            replica;
        let usage = Usage { input_tokens, output_tokens };
        Bill { request: request.into(), team, serving, usage, cost_micros, at_ms }
    }
}

impl BillReplica {
    /// Returns the id of the bill's request.
    pub fn id(&self) -> ReplicaId {
        self.0
    }
}

/// Encodes a message or a handshake message.
///
/// # Errors
///
/// Returns [`Error::Malformed`] if the value cannot be encoded.
pub fn encode(value: &impl Serialize) -> Result<Vec<u8>> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes)
        .map_err(|error| Error::Malformed(error.to_string()))?;
    Ok(bytes)
}

/// Decodes a message or a handshake message.
///
/// # Errors
///
/// Returns [`Error::Malformed`] if the bytes cannot be decoded.
pub fn decode<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Result<T> {
    ciborium::from_reader(bytes).map_err(|error| Error::Malformed(error.to_string()))
}
