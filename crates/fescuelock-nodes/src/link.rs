//! One authenticated connection between two nodes, over a WebSocket.

use std::time::Duration;

use bytes::Bytes;
use fescuelock_core::session::SigningKey;
use fescuelock_http::net::BoxIo;
use futures_util::{SinkExt, StreamExt};
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use tokio::time::timeout;
use tokio_tungstenite::tungstenite::Message as Frame;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::{WebSocketStream, accept_async_with_config, client_async_with_config};

use crate::messages::{Message, decode, encode};
use crate::{Error, Result};

/// Largest message, in bytes. The rules are at most a megabyte.
const MESSAGE_MAX_BYTES: usize = 2 << 20;
/// Time for the handshake, in milliseconds.
const HANDSHAKE_TIMEOUT_MS: u64 = 2_000;
/// Address in the opening request, which the other end does not use.
const LINK_URI: &str = "ws://node/link";

/// `NodeKeys` are the secrets that all nodes of a deployment share, the one in use first.
#[derive(Clone, Default)]
pub struct NodeKeys {
    /// The keys.
    pub keys: Vec<SigningKey>,
}

/// `Introduction` names one end of a link.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Introduction {
    /// Id of the node.
    pub node: String,
    /// Number that is never used twice.
    pub nonce: u64,
    /// Name of the key that proves the node's part.
    pub key: String,
}

/// `Proof` shows that an end holds the key.
#[derive(Debug, Serialize, Deserialize)]
struct Proof(Vec<u8>);

/// `Link` is an authenticated connection.
pub struct Link {
    stream: WebSocketStream<BoxIo>,
    /// Id of the node at the other end.
    pub node: String,
}

impl Link {
    /// Opens a link over a new connection.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotAuthentic`] if the other end holds none of the keys.
    pub async fn dial(io: BoxIo, keys: &NodeKeys, own: Introduction) -> Result<Self> {
        let limit = Duration::from_millis(HANDSHAKE_TIMEOUT_MS);
        let dialled = async {
            let (stream, _) =
                client_async_with_config(LINK_URI, io, Some(limits())).await.map_err(broken)?;
            Link::authenticate(stream, keys, own, "dial", "accept").await
        };
        timeout(limit, dialled).await.map_err(|_| silent())?
    }

    /// Accepts a link over a new connection.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotAuthentic`] if the other end holds none of the keys.
    pub async fn accept(io: BoxIo, keys: &NodeKeys, own: Introduction) -> Result<Self> {
        let limit = Duration::from_millis(HANDSHAKE_TIMEOUT_MS);
        let accepted = async {
            let stream = accept_async_with_config(io, Some(limits())).await.map_err(broken)?;
            Link::authenticate(stream, keys, own, "accept", "dial").await
        };
        timeout(limit, accepted).await.map_err(|_| silent())?
    }

    /// Exchanges introductions and proofs over both nonces.
    async fn authenticate(
        mut stream: WebSocketStream<BoxIo>,
        keys: &NodeKeys,
        own: Introduction,
        own_role: &str,
        other_role: &str,
    ) -> Result<Self> {
        send(&mut stream, &own).await?;
        let other: Introduction = receive(&mut stream).await?;
        let own_proof = prove(keys, own_role, &own, &other)?.finalize().into_bytes();
        send(&mut stream, &Proof(own_proof.to_vec())).await?;
        let Proof(other_proof) = receive(&mut stream).await?;
        prove(keys, other_role, &other, &own)?
            .verify_slice(&other_proof)
            .map_err(|_| Error::NotAuthentic)?;
        Ok(Link { stream, node: other.node })
    }

    /// Sends a message and returns its size in bytes.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Broken`] if the connection has failed.
    pub async fn send(&mut self, message: &Message) -> Result<usize> {
        send(&mut self.stream, message).await
    }

    /// Waits for the next message.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Closed`] at the end of the link and [`Error::Malformed`] for bytes of
    /// another form.
    pub async fn receive(&mut self) -> Result<Message> {
        receive(&mut self.stream).await
    }
}

fn limits() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MESSAGE_MAX_BYTES))
        .max_frame_size(Some(MESSAGE_MAX_BYTES))
}

/// Computes what an end proves: its role and both introductions.
fn prove(
    keys: &NodeKeys,
    role: &str,
    prover: &Introduction,
    verifier: &Introduction,
) -> Result<Hmac<Sha256>> {
    let key = keys.keys.iter().find(|key| key.name == prover.key).ok_or(Error::NotAuthentic)?;
    let mut mac = <Hmac<Sha256> as KeyInit>::new_from_slice(&key.secret)
        .expect("an HMAC takes a key of any length");
    mac.update(&encode(&(role, prover, verifier))?);
    Ok(mac)
}

async fn send(stream: &mut WebSocketStream<BoxIo>, value: &impl Serialize) -> Result<usize> {
    let bytes = encode(value)?;
    let size = bytes.len();
    stream.send(Frame::Binary(Bytes::from(bytes))).await.map_err(broken)?;
    Ok(size)
}

async fn receive<T: for<'a> Deserialize<'a>>(stream: &mut WebSocketStream<BoxIo>) -> Result<T> {
    loop {
        match stream.next().await {
            Some(Ok(Frame::Binary(bytes))) => return decode(&bytes),

            // The library answers pings by itself.
            Some(Ok(Frame::Ping(_) | Frame::Pong(_) | Frame::Frame(_))) => {}

            Some(Ok(Frame::Text(_))) => {
                return Err(Error::Malformed("a text message".to_owned()));
            }

            Some(Ok(Frame::Close(_))) | None => return Err(Error::Closed),

            Some(Err(error)) => return Err(broken(error)),
        }
    }
}

fn broken(error: impl std::fmt::Display) -> Error {
    Error::Broken(error.to_string())
}

fn silent() -> Error {
    Error::Silent { limit_ms: HANDSHAKE_TIMEOUT_MS }
}
