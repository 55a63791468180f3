//! Routing of a request to a pool and a tier.

use super::ConfigDocument;
use super::tables::{PoolConfig, PoolKind, RouteRule, TierConfig, WorkspaceConfig};
use crate::outcome::ReasonCode;
use thiserror::Error;

/// Request attributes that routing depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteQuery<'a> {
    /// Workspace of the caller.
    pub workspace: &'a str,
    /// HTTP method in upper case.
    pub method: &'a str,
    /// Normalised path of the request, without the query.
    pub path: &'a str,
    /// Model that the request names.
    pub model: Option<&'a str>,
    /// Value of the `x-idempotent` header, if present.
    pub idempotent: Option<bool>,
}

/// Result of routing a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteMatch<'a> {
    /// Rule that matched.
    pub rule: &'a RouteRule,
    /// Workspace of the caller.
    pub workspace: &'a WorkspaceConfig,
    /// Pool that serves the request.
    pub pool: &'a PoolConfig,
    /// Tier of the request.
    pub tier: &'a TierConfig,
    /// Whether the request may be cancelled while it runs.
    pub idempotent: bool,
}

/// Error returned when a request cannot be routed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum RouteError {
    /// The workspace does not exist in the document.
    #[error("there is no workspace {0:?}")]
    UnknownWorkspace(String),
    /// No rule matches.
    #[error("no rule matches the request")]
    NoMatchingRule,
    /// The workspace may not use the pool of the rule.
    #[error("the workspace may not use pool {0:?}")]
    PoolNotAllowed(String),
    /// The workspace may not use the tier of the rule.
    #[error("the workspace may not use tier {0:?}")]
    TierNotAllowed(String),
    /// The pool serves models and the request names none.
    #[error("the request names no model")]
    MissingModel,
    /// The pool does not serve the model.
    #[error("pool {pool:?} does not serve model {model:?}")]
    ModelNotServed {
        /// Pool of the rule.
        pool: String,
        /// Model of the request.
        model: String,
    },
}

impl RouteError {
    /// Returns the reason code to report to the caller.
    pub fn reason(&self) -> ReasonCode {
        match self {
            Self::UnknownWorkspace(_) => ReasonCode::Unauthorized,
            Self::MissingModel => ReasonCode::BadRequest,
            _ => ReasonCode::NoRoute,
        }
    }
}

impl ConfigDocument {
    /// Selects the pool and the tier of a request by the first rule that matches.
    ///
    /// If the pool, the tier or the model of that rule is not allowed, later rules are not tried.
    /// Otherwise a request could run in a pool that was not intended for it.
    ///
    /// # Errors
    /// Returns an error if the workspace is unknown, no rule matches, the workspace may not use the
    /// pool or the tier, or the pool does not serve the model.
    pub fn route<'a>(&'a self, query: &RouteQuery<'_>) -> Result<RouteMatch<'a>, RouteError> {
        let workspace = self
            .workspace(query.workspace)
            .ok_or_else(|| RouteError::UnknownWorkspace(query.workspace.to_owned()))?;
        let rule = self
            .rules()
            .iter()
            .find(|rule| rule_matches(rule, query))
            .ok_or(RouteError::NoMatchingRule)?;
        let pool = self
            .pool(&rule.pool)
            .filter(|_| workspace.pools.contains(&rule.pool))
            .ok_or_else(|| RouteError::PoolNotAllowed(rule.pool.clone()))?;
        let tier = self
            .tier(&rule.tier)
            .filter(|_| workspace.tiers.contains(&rule.tier))
            .ok_or_else(|| RouteError::TierNotAllowed(rule.tier.clone()))?;
        check_model(pool, query.model)?;
        let idempotent = is_idempotent(rule, pool, query);
        Ok(RouteMatch { rule, workspace, pool, tier, idempotent })
    }
}

fn rule_matches(rule: &RouteRule, query: &RouteQuery<'_>) -> bool {
    let equal = |expected: &Option<String>, found: Option<&str>| {
        expected.as_deref().is_none_or(|expected| found == Some(expected))
    };
    equal(&rule.workspace, Some(query.workspace))
        && equal(&rule.method, Some(query.method))
        && equal(&rule.model, query.model)
        && rule.path_prefix.as_deref().is_none_or(|prefix| prefix_matches(prefix, query.path))
}

/// Returns whether the path starts with all segments of the prefix: `/svc/a` matches `/svc/a/b`
/// but not `/svc/ab`.
fn prefix_matches(prefix: &str, path: &str) -> bool {
    path.strip_prefix(prefix)
        .is_some_and(|rest| rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/'))
}

fn check_model(pool: &PoolConfig, model: Option<&str>) -> Result<(), RouteError> {
    if pool.kind == PoolKind::Service {
        return Ok(());
    }
    let model = model.ok_or(RouteError::MissingModel)?;
    if pool.models.iter().any(|served| served == model) {
        return Ok(());
    }
    Err(RouteError::ModelNotServed { pool: pool.name.clone(), model: model.to_owned() })
}

fn is_idempotent(rule: &RouteRule, pool: &PoolConfig, query: &RouteQuery<'_>) -> bool {
    if rule.idempotent == Some(false) {
        return false;
    }
    let default = pool.kind == PoolKind::Model || matches!(query.method, "GET" | "HEAD");
    query.idempotent.or(rule.idempotent).unwrap_or(default)
}
