//! Session tokens, which bind a session to a model version.
//!
//! A token is signed by the deployment and carried by the caller.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

use crate::ids::RequestId;
use crate::{Error, Result};

/// The first part of every token, which identifies the token format.
const TOKEN_FORMAT: &str = "fs1";
/// The expected format in error messages.
const TOKEN_EXPECTED: &str = "`new` or a session token that this deployment issued";

/// `SigningKey` is a named secret that signs session tokens.
#[derive(Clone)]
pub struct SigningKey {
    /// Name of the key, which is part of each token that it signs.
    pub name: String,
    /// The HMAC secret.
    pub secret: Vec<u8>,
}

/// `SessionKeys` signs tokens with its first key and verifies tokens signed with any of its keys.
#[derive(Clone)]
pub struct SessionKeys {
    keys: Vec<SigningKey>,
}

/// `SessionBinding` is the content of a session token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SessionBinding {
    /// Name of the team that the token was issued to.
    pub team: String,
    /// Name of the version to which the session is bound, as `model/version`.
    pub version: String,
    /// Id of the session, which has the format of a [`RequestId`].
    pub session: RequestId,
}

impl SessionKeys {
    /// Builds a key set from at least one key. The first key signs new tokens.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Malformed`] if there is no key.
    pub fn try_new(keys: Vec<SigningKey>) -> Result<Self> {
        match keys.is_empty() {
            true => Err(Error::malformed("[]", "a list of at least one session key")),
            false => Ok(SessionKeys { keys }),
        }
    }

    /// Issues a signed token for a session.
    pub fn issue(&self, binding: &SessionBinding) -> String {
        let key = &self.keys[0];
        let payload = format!("{}\n{}\n{}", binding.team, binding.version, binding.session);
        let body = format!("{TOKEN_FORMAT}.{}.{}", key.name, hex::encode(payload));
        let signature = hex::encode(session_mac(key, &body).finalize().into_bytes());
        format!("{body}.{signature}")
    }

    /// Verifies a token that the given team presented.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Malformed`] for text in another format, [`Error::BadSignature`] for a token
    /// that none of the keys signed and [`Error::ForeignSession`] for another team's token.
    pub fn verify(&self, team: &str, token: &str) -> Result<SessionBinding> {
        // The error names the token without its text, which is a credential.
        let malformed = || Error::malformed("session token", TOKEN_EXPECTED);
        let (body, signature) = token.rsplit_once('.').ok_or_else(malformed)?;
        let mut parts = body.splitn(3, '.');
        let (token_format, key_name, payload) = match (parts.next(), parts.next(), parts.next()) {
            (Some(token_format), Some(key_name), Some(payload)) => {
                (token_format, key_name, payload)
            }
            _ => return Err(malformed()),
        };
        if token_format != TOKEN_FORMAT {
            return Err(malformed());
        }
        let signature = hex::decode(signature).map_err(|_| malformed())?;
        let key = self.keys.iter().find(|key| key.name == key_name).ok_or(Error::BadSignature)?;
        session_mac(key, body).verify_slice(&signature).map_err(|_| Error::BadSignature)?;

        let payload = hex::decode(payload).map_err(|_| malformed())?;
        let payload = String::from_utf8(payload).map_err(|_| malformed())?;
        let binding = parse_payload(&payload).ok_or_else(malformed)?;
        match binding.team == team {
            true => Ok(binding),
            false => Err(Error::ForeignSession),
        }
    }
}

/// Returns the HMAC of the unsigned part of a token, ready to be finalized or verified.
fn session_mac(key: &SigningKey, body: &str) -> Hmac<Sha256> {
    let mut mac = <Hmac<Sha256> as KeyInit>::new_from_slice(&key.secret)
        .expect("an HMAC takes a key of any length");
    mac.update(body.as_bytes());
    mac
}

/// Parses the payload of a token.
fn parse_payload(payload: &str) -> Option<SessionBinding> {
    let mut fields = payload.split('\n');
    let team = fields.next()?.to_owned();
    let version = fields.next()?.to_owned();
    let session = fields.next()?.parse().ok()?;
    Some(SessionBinding { team, version, session })
}
