//! An authenticated WebSocket connection between two nodes.

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

/// Maximum size of a message, in bytes. The largest one carries the rules, which are at most one
/// megabyte.
const MESSAGE_MAX_BYTES: usize = 2 << 20;
/// Timeout of the handshake, in milliseconds.
const HANDSHAKE_TIMEOUT_MS: u64 = 2_000;
/// URI of the WebSocket upgrade request. The accepting node ignores it.
const LINK_URI: &str = "ws://node/link";

/// `NodeKeys` holds the secrets that all nodes of a deployment share.
///
/// A node signs with the first key and accepts proofs made with any of them.
#[derive(Clone, Default)]
pub struct NodeKeys {
    /// The keys, the signing key first.
    pub keys: Vec<SigningKey>,
}

/// `HandshakeHello` is the first handshake message: it identifies one node of a link.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandshakeHello {
    /// Id of the node.
    pub node: String,
    /// Random number that makes each handshake unique.
    pub nonce: u64,
    /// Name of the key with which the node makes its proof.
    pub key: String,
}

/// `Proof` is the HMAC that proves possession of the key.
#[derive(Debug, Serialize, Deserialize)]
struct Proof(Vec<u8>);

/// `Link` is an authenticated connection to a peer.
pub struct Link {
    stream: WebSocketStream<BoxIo>,
    /// Id of the peer.
    pub node: String,
}

impl Link {
    /// Opens a link over a new outgoing connection.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unauthenticated`] if the peer does not prove possession of a shared key.
    pub async fn dial(io: BoxIo, keys: &NodeKeys, local: HandshakeHello) -> Result<Self> {
        let limit = Duration::from_millis(HANDSHAKE_TIMEOUT_MS);
        let dialled = async {
            let (stream, _) = client_async_with_config(LINK_URI, io, Some(websocket_config()))
                .await
                .map_err(connection_failed)?;
            Link::authenticate(stream, keys, local, "dial", "accept").await
        };
        timeout(limit, dialled).await.map_err(|_| handshake_timed_out())?
    }

    /// Accepts a link over a new incoming connection.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unauthenticated`] if the peer does not prove possession of a shared key.
    pub async fn accept(io: BoxIo, keys: &NodeKeys, local: HandshakeHello) -> Result<Self> {
        let limit = Duration::from_millis(HANDSHAKE_TIMEOUT_MS);
        let accepted = async {
            let stream = accept_async_with_config(io, Some(websocket_config()))
                .await
                .map_err(connection_failed)?;
            Link::authenticate(stream, keys, local, "accept", "dial").await
        };
        timeout(limit, accepted).await.map_err(|_| handshake_timed_out())?
    }

    /// Exchanges hello messages, then HMACs over both of them, and verifies the peer's HMAC.
    async fn authenticate(
        mut stream: WebSocketStream<BoxIo>,
        keys: &NodeKeys,
        local: HandshakeHello,
        local_role: &str,
        remote_role: &str,
    ) -> Result<Self> {
        send(&mut stream, &local).await?;
        let remote: HandshakeHello = receive(&mut stream).await?;
        let local_proof = handshake_mac(keys, local_role, &local, &remote)?.finalize().into_bytes();
        send(&mut stream, &Proof(local_proof.to_vec())).await?;
        let Proof(remote_proof) = receive(&mut stream).await?;
        handshake_mac(keys, remote_role, &remote, &local)?
            .verify_slice(&remote_proof)
            .map_err(|_| Error::Unauthenticated)?;
        Ok(Link { stream, node: remote.node })
    }

    /// Sends a message and returns its encoded size in bytes.
    ///
    /// # Errors
    ///
    /// Returns [`Error::ConnectionFailed`] if the connection has failed.
    pub async fn send(&mut self, message: &Message) -> Result<usize> {
        send(&mut self.stream, message).await
    }

    /// Waits for the next message.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Closed`] if the peer has closed the link and [`Error::Malformed`] if the
    /// message cannot be decoded.
    pub async fn receive(&mut self) -> Result<Message> {
        receive(&mut self.stream).await
    }
}

fn websocket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MESSAGE_MAX_BYTES))
        .max_frame_size(Some(MESSAGE_MAX_BYTES))
}

/// Computes the HMAC that authenticates the prover, over its role and both hello messages.
///
/// The role keeps a proof from being reflected to the node that made it.
fn handshake_mac(
    keys: &NodeKeys,
    role: &str,
    prover: &HandshakeHello,
    verifier: &HandshakeHello,
) -> Result<Hmac<Sha256>> {
    let key = keys.keys.iter().find(|key| key.name == prover.key).ok_or(Error::Unauthenticated)?;
    let mut mac = <Hmac<Sha256> as KeyInit>::new_from_slice(&key.secret)
        .expect("HMAC accepts keys of any length");
    mac.update(&encode(&(role, prover, verifier))?);
    Ok(mac)
}

async fn send(stream: &mut WebSocketStream<BoxIo>, value: &impl Serialize) -> Result<usize> {
    let bytes = encode(value)?;
    let size = bytes.len();
    stream.send(Frame::Binary(Bytes::from(bytes))).await.map_err(connection_failed)?;
    Ok(size)
}

async fn receive<T: for<'a> Deserialize<'a>>(stream: &mut WebSocketStream<BoxIo>) -> Result<T> {
    loop {
        match stream.next().await {
            Some(Ok(Frame::Binary(bytes))) => return decode(&bytes),

            // The WebSocket library responds to pings.
            Some(Ok(Frame::Ping(_) | Frame::Pong(_) | Frame::Frame(_))) => {}

            Some(Ok(Frame::Text(_))) => {
                return Err(Error::Malformed("unexpected text frame".to_owned()));
            }

            Some(Ok(Frame::Close(_))) | None => return Err(Error::Closed),

            Some(Err(error)) => return Err(connection_failed(error)),
        }
    }
}

fn connection_failed(error: impl std::fmt::Display) -> Error {
    Error::ConnectionFailed(error.to_string())
}

fn handshake_timed_out() -> Error {
    Error::TimedOut { limit_ms: HANDSHAKE_TIMEOUT_MS }
}
