//! Protects the console against cross-site request forgery (CSRF) and DNS rebinding.

use super::{AUTHOR_FIELD, BASE_VERSION_FIELD, CSRF_TOKEN_FIELD, OPERATION_ID_FIELD};
use crate::operator::is_operation_id;
use std::net::{IpAddr, SocketAddr};
use thiserror::Error;

/// Random token that the forms of a process contain and send back.
///
/// Another site cannot read a page of the console and therefore does not know the token. The token
/// is not bound to a session, because all operators have the same rights.
#[derive(Clone, Debug)]
pub struct CsrfToken(String);

impl CsrfToken {
    /// Creates the token from a random number that the process generates at startup.
    pub fn from_random(number: u128) -> Self {
        Self(format!("{number:032x}"))
    }

    /// Returns the text for the hidden field.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Whether the posted text equals the token. The duration of the comparison does not depend on
    /// where the texts differ.
    pub fn matches(&self, posted: &str) -> bool {
        let pairs = self.0.bytes().zip(posted.bytes());
        posted.len() == self.0.len() && pairs.fold(0, |differing, (a, b)| differing | (a ^ b)) == 0
    }
}

/// Hidden fields and author of an accepted post.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConsolePost {
    /// Version that the edit started from.
    pub base_version: u64,
    /// Operation id of the edit.
    pub operation_id: String,
    /// Who makes the edit.
    pub author: String,
}

/// Reason to refuse a post before its document is parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum PostRefusal {
    /// The token is missing or wrong, for example because the process has restarted.
    #[error("the form is not from this process or is too old; open the console again")]
    InvalidToken,
    /// The `Origin` header names another site.
    #[error("the form was sent by another site")]
    CrossOrigin,
    /// The `Host` header is missing or contains a domain name other than `localhost`, which an
    /// attacker can resolve to this address (DNS rebinding).
    #[error("the console must be opened by IP address")]
    InvalidHost,
    /// The base version or the operation id is missing or malformed.
    #[error("the form is incomplete; open the console again")]
    Incomplete,
}

/// Checks the origin and the CSRF token of a post, and parses its hidden fields.
///
/// `host` and `origin` are the request headers. A browser sends `Origin` with each post; a client
/// that sends none is not a browser and is checked by the token alone.
///
/// # Errors
/// Returns the reason to refuse the post.
pub fn check_post(
    token: &CsrfToken,
    host: Option<&str>,
    origin: Option<&str>,
    posted: &[(String, String)],
) -> Result<ConsolePost, PostRefusal> {
    check_origin(host, origin)?;
    let field = |name| posted.iter().find(|(key, _)| key == name).map(|(_, value)| value.trim());
    if !field(CSRF_TOKEN_FIELD).is_some_and(|text| token.matches(text)) {
        return Err(PostRefusal::InvalidToken);
    }
    let base_version = field(BASE_VERSION_FIELD).and_then(|text| text.parse().ok());
    let operation_id = field(OPERATION_ID_FIELD).filter(|id| is_operation_id(id));
    let (Some(base_version), Some(operation_id)) = (base_version, operation_id) else {
        return Err(PostRefusal::Incomplete);
    };
    let author = field(AUTHOR_FIELD).filter(|author| !author.is_empty()).unwrap_or("console");
    let (operation_id, author) = (operation_id.to_owned(), author.to_owned());
    Ok(ConsolePost { base_version, operation_id, author })
}

/// Checks the `Host` and `Origin` headers of a request that a browser may have sent.
///
/// # Errors
/// Returns the reason to refuse the request.
pub fn check_origin(host: Option<&str>, origin: Option<&str>) -> Result<(), PostRefusal> {
    let host = host.filter(|host| is_address(host)).ok_or(PostRefusal::InvalidHost)?;
    match origin.is_some_and(|origin| origin.strip_prefix("http://") != Some(host)) {
        true => Err(PostRefusal::CrossOrigin),
        false => Ok(()),
    }
}

/// Whether the `Host` header is `localhost` or an IP address, with or without a port.
fn is_address(host: &str) -> bool {
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    let bare = host.trim_start_matches('[').trim_end_matches(']');
    name == "localhost" || host.parse::<SocketAddr>().is_ok() || bare.parse::<IpAddr>().is_ok()
}
