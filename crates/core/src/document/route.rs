//! Choice of pool and tier for a request.

use super::ConfigDocument;
use super::tables::{PoolConfig, PoolKind, RouteRule, TierConfig, WorkspaceConfig};
use crate::outcome::ReasonCode;
use thiserror::Error;

/// What the rules match on. The path has no query part and is already normalised.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteQuery<'a> {
    /// Workspace of the caller.
    pub workspace: &'a str,
    /// HTTP method in upper case.
    pub method: &'a str,
    /// Path of the request.
    pub path: &'a str,
    /// Model that the request names.
    pub model: Option<&'a str>,
    /// What the caller stated in `x-idempotent`.
    pub idempotent: Option<bool>,
}

/// Where a request goes.
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

/// Why a request has no route.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum RouteError {
    /// The document has no such workspace.
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
    /// Reason code for the caller.
    pub fn reason(&self) -> ReasonCode {
        match self {
            Self::UnknownWorkspace(_) => ReasonCode::Unauthorized,
            Self::MissingModel => ReasonCode::BadRequest,
            _ => ReasonCode::NoRoute,
        }
    }
}

impl ConfigDocument {
    /// Picks pool and tier by the first rule that matches.
    ///
    /// A matching rule is final: if its pool, tier or model is refused, later rules are not
    /// tried, so a request never lands in a pool that its rule did not mean.
    ///
    /// # Errors
    /// Says why the request has no route.
    pub fn route<'a>(&'a self, query: &RouteQuery<'_>) -> Result<RouteMatch<'a>, RouteError> {
        let workspace = self
            .workspace(query.workspace)
            .ok_or_else(|| RouteError::UnknownWorkspace(query.workspace.to_owned()))?;
        let rule = self
            .rules()
            .iter()
            .find(|rule| matches(rule, query))
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

fn matches(rule: &RouteRule, query: &RouteQuery<'_>) -> bool {
    let equal = |wanted: &Option<String>, found: Option<&str>| {
        wanted.as_deref().is_none_or(|wanted| found == Some(wanted))
    };
    equal(&rule.workspace, Some(query.workspace))
        && equal(&rule.method, Some(query.method))
        && equal(&rule.model, query.model)
        && rule.path_prefix.as_deref().is_none_or(|prefix| covers(prefix, query.path))
}

/// Whether the path is the prefix or continues it at a `/`, so `/svc/a` does not cover `/svc/ab`.
fn covers(prefix: &str, path: &str) -> bool {
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
    let by_kind = pool.kind == PoolKind::Model || matches!(query.method, "GET" | "HEAD");
    query.idempotent.or(rule.idempotent).unwrap_or(by_kind)
}
