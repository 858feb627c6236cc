//! Session tokens: the binding of a session to a version, signed and carried by the caller.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

use crate::ids::RequestId;
use crate::{Error, Result};

/// The first part of every token, which names its form.
const TOKEN_FORM: &str = "fs1";
/// What a token looks like, for error messages.
const TOKEN_EXPECTED: &str = "`new` or a session token that this deployment issued";

/// `SigningKey` is a named secret that signs session tokens.
#[derive(Clone)]
pub struct SigningKey {
    /// Name of the key, which stands in each token.
    pub name: String,
    /// The secret bytes.
    pub secret: Vec<u8>,
}

/// `SessionKeys` signs with its first key and accepts the signatures of all its keys.
#[derive(Clone)]
pub struct SessionKeys {
    keys: Vec<SigningKey>,
}

/// `Binding` is what a session token states.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Binding {
    /// Name of the team that the token was issued to.
    pub team: String,
    /// Name of the version that the session keeps, as `model/version`.
    pub version: String,
    /// Id of the session.
    pub session: RequestId,
}

impl SessionKeys {
    /// Builds a key set from one or more keys, the signing key first.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Malformed`] if there is no key.
    pub fn try_new(keys: Vec<SigningKey>) -> Result<Self> {
        match keys.is_empty() {
            true => Err(Error::malformed("", "a list of at least one session key")),
            false => Ok(SessionKeys { keys }),
        }
    }

    /// Issues the token of a session.
    pub fn issue(&self, binding: &Binding) -> String {
        let key = &self.keys[0];
        let payload = format!("{}\n{}\n{}", binding.team, binding.version, binding.session);
        let body = format!("{TOKEN_FORM}.{}.{}", key.name, hex::encode(payload));
        let signature = hex::encode(signer(key, &body).finalize().into_bytes());
        format!("{body}.{signature}")
    }

    /// Verifies a token that the given team presented.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Malformed`] for a text of another form, [`Error::BadSignature`] for a token
    /// that none of the keys signed and [`Error::ForeignSession`] for another team's token.
    pub fn verify(&self, team: &str, token: &str) -> Result<Binding> {
        let malformed = || Error::malformed("session token", TOKEN_EXPECTED);
        let (body, signature) = token.rsplit_once('.').ok_or_else(malformed)?;
        let mut parts = body.splitn(3, '.');
        let (form, key_name, payload) = match (parts.next(), parts.next(), parts.next()) {
            (Some(form), Some(key_name), Some(payload)) => (form, key_name, payload),
            _ => return Err(malformed()),
        };
        if form != TOKEN_FORM {
            return Err(malformed());
        }
        let signature = hex::decode(signature).map_err(|_| malformed())?;
        let key = self.keys.iter().find(|key| key.name == key_name).ok_or(Error::BadSignature)?;
        signer(key, body).verify_slice(&signature).map_err(|_| Error::BadSignature)?;

        let payload = hex::decode(payload).map_err(|_| malformed())?;
        let payload = String::from_utf8(payload).map_err(|_| malformed())?;
        let binding = parse_payload(&payload).ok_or_else(malformed)?;
        match binding.team == team {
            true => Ok(binding),
            false => Err(Error::ForeignSession),
        }
    }
}

/// Prepares the signature of a token's body.
fn signer(key: &SigningKey, body: &str) -> Hmac<Sha256> {
    let mut mac = <Hmac<Sha256> as KeyInit>::new_from_slice(&key.secret)
        .expect("an HMAC takes a key of any length");
    mac.update(body.as_bytes());
    mac
}

/// Splits a signed payload into its fields.
fn parse_payload(payload: &str) -> Option<Binding> {
    let mut lines = payload.split('\n');
    let team = lines.next()?.to_owned();
    let version = lines.next()?.to_owned();
    let session = lines.next()?.parse().ok()?;
    Some(Binding { team, version, session })
}
