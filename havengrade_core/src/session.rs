//! Sessions: the caller holds the session affinity to a model version in a signed token.

use std::time::{Duration, SystemTime};

use hmac::{Hmac, KeyInit as _, Mac as _};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use snafu::{OptionExt as _, ResultExt as _, Snafu, ensure};

use crate::{
    config::{Config, SessionKey},
    ids::{AccountId, ClassId, SessionId, VersionId},
};

/// Maximum size of a token, in bytes.
const MAX_TOKEN_BYTES: usize = 2048;

/// Content of a session token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Session {
    /// Id of the session.
    pub id: SessionId,
    /// Client account that opened the session.
    pub account: AccountId,
    /// Request class of the session.
    pub class: ClassId,
    /// Model version that serves the session.
    pub version: VersionId,
    /// End of the session, as time since the Unix epoch.
    pub ends: Duration,
}

/// Reason for refusing a token.
#[derive(Debug, Snafu)]
pub enum SessionError {
    /// The token wasn't issued by this deployment, or was modified.
    #[snafu(display("session token: it is not one of ours; send it back as it was given, or open a new session"))]
    Malformed,
    /// The token's content can't be deserialised.
    #[snafu(display("session token: {source}; open a new session"))]
    Content {
        /// Deserialisation error.
        source: serde_json::Error,
    },
    /// The key that signed the token is no longer in the configuration.
    #[snafu(display("session token: its key {key} is no longer in use; open a new session"))]
    UnknownKey {
        /// Name of the key.
        key: String,
    },
    /// The token belongs to another client account or class.
    #[snafu(display("session token: it was given for another client account or class; open a new session"))]
    WrongOwner,
    /// The session has expired.
    #[snafu(display("session token: the session has ended; open a new session"))]
    Expired,
}

/// Returns the signed token of a session, in the form `key.payload.tag`.
///
/// ```
/// use std::time::{Duration, SystemTime};
/// use havengrade_core::{config::SessionKey, session::{Session, sign}};
///
/// let key = SessionKey { id: "k1".into(), secret_hex: "00".repeat(32), signs: true };
/// let session = Session {
///     id: "s".into(), account: "gate".into(), class: "chat".into(), version: "swift@1".into(),
///     ends: Duration::from_secs(60),
/// };
/// assert!(sign(&session, &key).starts_with("k1."));
/// ```
pub fn sign(session: &Session, key: &SessionKey) -> String {
    let payload = hex::encode(serde_json::to_vec(session).unwrap_or_default());
    let tag = hex::encode(mac(key, &payload).finalize().into_bytes());
    format!("{}.{payload}.{tag}", key.id)
}

/// Verifies a token that a caller sent, and returns the session in it.
///
/// # Errors
///
/// [`SessionError`], which names what is wrong with the token.
pub fn verify(token: &str, cfg: &Config, account: &str, class: &str, now: SystemTime) -> Result<Session, SessionError> {
    ensure!(token.len() <= MAX_TOKEN_BYTES, MalformedSnafu);
    let (key_id, rest) = token.split_once('.').context(MalformedSnafu)?;
    let (payload, tag) = rest.split_once('.').context(MalformedSnafu)?;
    let key = cfg.session_keys.get(key_id).context(UnknownKeySnafu { key: key_id })?;
    let tag = hex::decode(tag).ok().context(MalformedSnafu)?;
    mac(key, payload).verify_slice(&tag).ok().context(MalformedSnafu)?;
    let bytes = hex::decode(payload).ok().context(MalformedSnafu)?;
    let session: Session = serde_json::from_slice(&bytes).context(ContentSnafu)?;
    ensure!(session.account == account && session.class == class, WrongOwnerSnafu);
    ensure!(SystemTime::UNIX_EPOCH + session.ends > now, ExpiredSnafu);
    Ok(session)
}

fn mac(key: &SessionKey, payload: &str) -> Hmac<Sha256> {
    let secret = hex::decode(&key.secret_hex).unwrap_or_default();
    let mut mac = Hmac::<Sha256>::new_from_slice(&secret).unwrap_or_else(|_| unreachable!("any length is a key"));
    mac.update(payload.as_bytes());
    mac
}
