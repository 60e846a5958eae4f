//! Server side of SCRAM-SHA-256. A workspace has several keys, which share one salt and iteration
//! count.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use hmac::{Hmac, KeyInit, Mac};
use sha2::{Digest, Sha256};
use snafu::{OptionExt, ResultExt, Snafu, ensure};

use crate::configuration::{Key, KeyState, Workspace};
use crate::name::{KeyId, WorkspaceName};

/// Name of the SASL mechanism that is offered to callers.
pub const MECHANISM: &str = "SCRAM-SHA-256";
/// Iteration count of new verifiers. The caller computes the iterations at each login.
pub const ITERATIONS: u32 = 4_096;

const HASH_BYTES: usize = 32;
const SALT_BYTES: usize = 16;
const NONCE_BYTES: usize = 18;

type Hash = [u8; HASH_BYTES];

/// Result of a step of the authentication.
pub type Result<T, E = ScramError> = std::result::Result<T, E>;

/// Why the authentication failed.
#[derive(Debug, Snafu)]
pub enum ScramError {
    /// A message does not follow the mechanism's syntax.
    #[snafu(display("malformed SCRAM message: {what}; use a client that speaks {MECHANISM}"))]
    Malformed {
        /// What is wrong with it.
        what: &'static str,
    },
    /// A field is not base64.
    #[snafu(display("malformed base64 in a SCRAM field; issue the key again"))]
    Encoding {
        /// Cause.
        source: base64::DecodeError,
    },
    /// No active key matches the proof.
    #[snafu(display("the key is not valid for this workspace; check workspace and key"))]
    WrongKey,
}

/// SCRAM verifier of a key, the part of it that is stored, in base64.
#[derive(Clone, PartialEq, Eq)]
pub struct Verifier {
    /// `StoredKey`, with which the caller's proof is checked.
    pub stored_key: String,
    /// `ServerKey`, which proves to the caller that the server knows the verifier.
    pub server_key: String,
}

impl std::fmt::Debug for Verifier {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Verifier").finish_non_exhaustive()
    }
}

/// Computes the verifier of a key.
///
/// # Errors
///
/// Fails when the salt is not base64.
pub fn verifier(key_text: &str, salt: &str, iterations: u32) -> Result<Verifier> {
    let salt = STANDARD.decode(salt).context(EncodingSnafu)?;
    let salted = salted_password(key_text.as_bytes(), &salt, iterations);
    let client_key = hmac(&salted, &[b"Client Key"]);
    Ok(Verifier {
        stored_key: STANDARD.encode(Sha256::digest(client_key)),
        server_key: STANDARD.encode(hmac(&salted, &[b"Server Key"])),
    })
}

/// Generates the salt of a new workspace, in base64.
pub fn new_salt() -> String {
    STANDARD.encode(rand::random::<[u8; SALT_BYTES]>())
}

/// Keys that a login is checked against.
#[derive(Debug)]
pub struct Candidates {
    salt: String,
    iterations: u32,
    keys: Vec<Key>,
}

impl Candidates {
    /// Returns the active keys of a workspace.
    pub fn of(workspace: &Workspace) -> Self {
        let active = |key: &&Key| key.state == KeyState::Active;
        Self {
            salt: workspace.salt.clone(),
            iterations: workspace.iterations,
            keys: workspace.keys.iter().filter(active).cloned().collect(),
        }
    }

    /// Returns candidates for a workspace that does not exist. The exchange fails only at its end,
    /// so that a caller can't find out which workspaces exist. The same name always gets the same
    /// salt, as it would for a workspace that exists.
    pub fn mock(secret: &[u8], name: &WorkspaceName) -> Self {
        let hash = hmac(secret, &[b"mock salt", name.as_bytes()]);
        Self {
            salt: STANDARD.encode(&hash[..SALT_BYTES]),
            iterations: ITERATIONS,
            keys: Vec::new(),
        }
    }
}

/// SCRAM exchange in which the caller's proof is pending.
#[derive(Debug)]
pub struct ServerExchange {
    candidates: Candidates,
    gs2_header: String,
    client_first_bare: String,
    server_first: String,
    nonce: String,
}

/// Successful authentication.
#[derive(Debug)]
pub struct Accepted {
    /// Key that the caller proved to have.
    pub key: KeyId,
    /// The server-final message.
    pub server_final: String,
}

impl ServerExchange {
    /// Starts an exchange with the client-first message and a random nonce.
    ///
    /// # Errors
    ///
    /// Fails when the message is malformed.
    pub fn start(client_first: &[u8], candidates: Candidates) -> Result<Self> {
        let nonce = STANDARD.encode(rand::random::<[u8; NONCE_BYTES]>());
        Self::start_with_nonce(client_first, candidates, &nonce)
    }

    fn start_with_nonce(
        client_first: &[u8],
        candidates: Candidates,
        server_nonce: &str,
    ) -> Result<Self> {
        let text = utf8(client_first)?;
        let (flag, rest) = text.split_once(',').context(MalformedSnafu {
            what: "the channel binding flag is missing",
        })?;
        ensure!(
            flag == "n" || flag == "y",
            MalformedSnafu {
                what: "channel binding was not offered",
            }
        );
        let (authorization, bare) = rest.split_once(',').context(MalformedSnafu {
            what: "the header is not closed",
        })?;
        let client_nonce = field(bare, 1, "r=")?;
        ensure!(
            !client_nonce.is_empty(),
            MalformedSnafu {
                what: "the nonce is empty",
            }
        );
        let nonce = format!("{client_nonce}{server_nonce}");
        let server_first = format!(
            "r={nonce},s={},i={}",
            candidates.salt, candidates.iterations
        );
        Ok(Self {
            candidates,
            gs2_header: format!("{flag},{authorization},"),
            client_first_bare: bare.to_owned(),
            server_first,
            nonce,
        })
    }

    /// Returns the server-first message.
    pub fn server_first(&self) -> &str {
        &self.server_first
    }

    /// Checks the proof in the client-final message against each active key.
    ///
    /// # Errors
    ///
    /// Fails when the message is malformed or no key matches.
    pub fn finish(&self, client_final: &[u8]) -> Result<Accepted> {
        let text = utf8(client_final)?;
        let (without_proof, proof) = text.rsplit_once(",p=").context(MalformedSnafu {
            what: "the proof is missing",
        })?;
        let binding = field(without_proof, 0, "c=")?;
        ensure!(
            binding == STANDARD.encode(&self.gs2_header),
            MalformedSnafu {
                what: "the channel binding differs from the first message",
            }
        );
        ensure!(
            field(without_proof, 1, "r=")? == self.nonce,
            MalformedSnafu {
                what: "the nonce differs from the server's",
            }
        );
        let proof = decode_hash(proof)?;
        let auth_message = format!(
            "{},{},{without_proof}",
            self.client_first_bare, self.server_first
        );
        self.matching_key(&proof, auth_message.as_bytes())
    }

    fn matching_key(&self, proof: &Hash, auth_message: &[u8]) -> Result<Accepted> {
        for key in &self.candidates.keys {
            let stored_key = decode_hash(&key.stored_key)?;
            let signature = hmac(&stored_key, &[auth_message]);
            let client_key: Hash = std::array::from_fn(|i| proof[i] ^ signature[i]);
            if !constant_time_eq(&Sha256::digest(client_key), &stored_key) {
                continue;
            }
            let server_key = decode_hash(&key.server_key)?;
            let server_signature = STANDARD.encode(hmac(&server_key, &[auth_message]));
            return Ok(Accepted {
                key: key.id.clone(),
                server_final: format!("v={server_signature}"),
            });
        }
        WrongKeySnafu.fail()
    }
}

fn utf8(message: &[u8]) -> Result<&str> {
    std::str::from_utf8(message).ok().context(MalformedSnafu {
        what: "the text is not UTF-8",
    })
}

fn field<'a>(message: &'a str, index: usize, prefix: &str) -> Result<&'a str> {
    let field = message.split(',').nth(index);
    field
        .and_then(|field| field.strip_prefix(prefix))
        .context(MalformedSnafu {
            what: "a field is missing or out of order",
        })
}

fn decode_hash(text: &str) -> Result<Hash> {
    let bytes = STANDARD.decode(text).context(EncodingSnafu)?;
    bytes.try_into().ok().context(MalformedSnafu {
        what: "a hash has the wrong length",
    })
}

fn constant_time_eq(left: &[u8], right: &[u8]) -> bool {
    let difference = left.iter().zip(right).fold(0, |sum, (l, r)| sum | (l ^ r));
    left.len() == right.len() && difference == 0
}

fn hmac(key: &[u8], parts: &[&[u8]]) -> Hash {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC takes a key of any length");
    for part in parts {
        mac.update(part);
    }
    mac.finalize().into_bytes().into()
}

fn salted_password(password: &[u8], salt: &[u8], iterations: u32) -> Hash {
    let mac = Hmac::<Sha256>::new_from_slice(password).expect("HMAC takes a key of any length");
    let mut block = hmac(password, &[salt, &1_u32.to_be_bytes()]);
    let mut result = block;
    for _ in 1..iterations {
        let mut round = mac.clone();
        round.update(&block);
        block = round.finalize().into_bytes().into();
        for (sum, byte) in result.iter_mut().zip(block) {
            *sum ^= byte;
        }
    }
    result
}

#[cfg(test)]
mod tests;
