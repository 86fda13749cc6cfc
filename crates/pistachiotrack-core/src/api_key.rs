//! API keys of customers, of which only digests are kept.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _};
use serde_json::Value;

/// Prefix of a digest in JSON. Any other text is a key.
const DIGEST_PREFIX: &str = "blake3-128:";
/// Length of a digest in bytes.
const DIGEST_BYTES: usize = 16;
/// Maximum length of a key in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Digest of an API key.
///
/// The key itself is dropped as soon as its digest is known, and no text of this type shows
/// the digest either: a key that is short enough to be guessed could be found from it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ApiKeyDigest([u8; DIGEST_BYTES]);

/// Why a text is not a valid API key. The text itself is never part of the message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ApiKeyError {
    /// It is empty.
    #[error("the key is empty")]
    Empty,
    /// It is longer than the maximum.
    #[error("the key has {0} bytes; the maximum is {MAX_KEY_BYTES}")]
    TooLong(usize),
    /// It contains white space, a control character or a character outside ASCII.
    #[error("byte {0} of the key can't be part of a header")]
    Unprintable(usize),
    /// It is a JSON value of another type.
    #[error("the key is not a text")]
    NoText,
    /// It begins like a digest, but isn't one.
    #[error("the digest is not {} hexadecimal digits", 2 * DIGEST_BYTES)]
    Digest,
}

impl ApiKeyDigest {
    /// Returns the digest of a key.
    ///
    /// # Errors
    ///
    /// Returns an error if no header can hold the key.
    pub fn of(key: &[u8]) -> Result<ApiKeyDigest, ApiKeyError> {
        if key.is_empty() {
            return Err(ApiKeyError::Empty);
        }
        if key.len() > MAX_KEY_BYTES {
            return Err(ApiKeyError::TooLong(key.len()));
        }
        if let Some(index) = key.iter().position(|byte| !byte.is_ascii_graphic()) {
            return Err(ApiKeyError::Unprintable(index));
        }
        let hash = blake3::hash(key);
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&hash.as_bytes()[..DIGEST_BYTES]);
        Ok(ApiKeyDigest(digest))
    }

    /// Returns bits of the digest for a hash table; they are uniformly distributed.
    pub(crate) fn table_hash(&self) -> u64 {
        let (bits, _) = self.0.split_first_chunk().expect("a digest has more than 8 bytes");
        u64::from_le_bytes(*bits)
    }

    fn from_hex(hex: &str) -> Result<ApiKeyDigest, ApiKeyError> {
        let is_hex = hex.len() == 2 * DIGEST_BYTES && hex.bytes().all(|b| b.is_ascii_hexdigit());
        if !is_hex {
            return Err(ApiKeyError::Digest);
        }
        let mut digest = [0; DIGEST_BYTES];
        for (index, byte) in digest.iter_mut().enumerate() {
            let digits = &hex[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| ApiKeyError::Digest)?;
        }
        Ok(ApiKeyDigest(digest))
    }
}

impl FromStr for ApiKeyDigest {
    type Err = ApiKeyError;

    /// Parses a key or, with its prefix, a digest.
    fn from_str(text: &str) -> Result<ApiKeyDigest, ApiKeyError> {
        match text.strip_prefix(DIGEST_PREFIX) {
            Some(hex) => ApiKeyDigest::from_hex(hex),
            None => ApiKeyDigest::of(text.as_bytes()),
        }
    }
}

impl fmt::Debug for ApiKeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKeyDigest(..)")
    }
}

impl Serialize for ApiKeyDigest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if !serializer.is_human_readable() {
            return self.0.serialize(serializer);
        }
        let mut text = DIGEST_PREFIX.to_owned();
        for byte in self.0 {
            text.push_str(&format!("{byte:02x}"));
        }
        serializer.serialize_str(&text)
    }
}

impl<'de> Deserialize<'de> for ApiKeyDigest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<ApiKeyDigest, D::Error> {
        if !deserializer.is_human_readable() {
            return <[u8; DIGEST_BYTES]>::deserialize(deserializer).map(ApiKeyDigest);
        }
        let text = Value::deserialize(deserializer)?;
        key_from_json(&text).map_err(D::Error::custom)
    }
}

/// Deserializes a list of keys. Unlike the errors of the decoder, those of this function never
/// show a value, since a key that was written in place of a list would end up in a log.
///
/// # Errors
///
/// Returns an error with the position of the invalid key.
pub fn deserialize_keys<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<ApiKeyDigest>, D::Error> {
    if !deserializer.is_human_readable() {
        return Vec::deserialize(deserializer);
    }
    keys_from_json(&Value::deserialize(deserializer)?)
}

/// As [`deserialize_keys`]; null stands for no keys.
///
/// Refusing it would leave the keys of the previous version in force.
///
/// # Errors
///
/// Returns an error with the position of the invalid key.
pub fn deserialize_optional_keys<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<ApiKeyDigest>, D::Error> {
    match Value::deserialize(deserializer)? {
        Value::Null => Ok(Vec::new()),
        keys => keys_from_json(&keys),
    }
}

fn keys_from_json<E: serde::de::Error>(value: &Value) -> Result<Vec<ApiKeyDigest>, E> {
    let Value::Array(keys) = value else { return Err(E::custom("not a list of keys")) };
    let key = |(index, key): (usize, &Value)| {
        key_from_json(key).map_err(|problem| E::custom(format!("[{index}]: {problem}")))
    };
    keys.iter().enumerate().map(key).collect()
}

fn key_from_json(value: &Value) -> Result<ApiKeyDigest, ApiKeyError> {
    value.as_str().ok_or(ApiKeyError::NoText)?.parse()
}
