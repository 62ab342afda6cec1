//! Sessions: the version pin travels with the caller in a signed token.

use std::time::{Duration, SystemTime};

use hmac::{Hmac, KeyInit as _, Mac as _};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use snafu::{OptionExt as _, ResultExt as _, Snafu, ensure};

use crate::{
    config::{Config, SessionKey},
    ids::{AccountId, ClassId, SessionId, VersionId},
};

/// Largest token that is looked at, in bytes.
const MAX_TOKEN: usize = 2048;

/// What a session keeps.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Session {
    /// Id of the session.
    pub id: SessionId,
    /// Client account that opened it.
    pub account: AccountId,
    /// Request class that it was opened for.
    pub class: ClassId,
    /// Version that it keeps.
    pub version: VersionId,
    /// When it ends, as time since the Unix epoch.
    pub ends: Duration,
}

/// Why a token was refused.
#[derive(Debug, Snafu)]
pub enum SessionError {
    /// The token is not one of ours, or was altered.
    #[snafu(display("session token: it is not one of ours; send it back as it was given, or open a new session"))]
    Malformed,
    /// The token's content is not what this version writes.
    #[snafu(display("session token: {source}; open a new session"))]
    Content {
        /// What the reader says.
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
    /// The session has lasted as long as it may.
    #[snafu(display("session token: the session has ended; open a new session"))]
    Expired,
}

/// Signs a session's token, `key.payload.tag`.
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

/// Reads a token that a caller sent back.
///
/// # Errors
///
/// [`SessionError`] tells whether the token is foreign, altered, too old or another's.
pub fn verify(token: &str, cfg: &Config, account: &str, class: &str, now: SystemTime) -> Result<Session, SessionError> {
    ensure!(token.len() <= MAX_TOKEN, MalformedSnafu);
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
