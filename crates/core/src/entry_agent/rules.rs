//! Safety rules of the entry agent, which tests disable one at a time.

/// Safety rules of the agent. All are enabled in production. A specification test disables one to
/// show that the search finds the violation that the rule prevents.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct EntryRules {
    /// Rejects a grant that exceeds its time to live.
    pub check_grant_age: bool,
    /// Uses no grant while the entry is not ready.
    pub check_ready: bool,
    /// Delays new requests until the leader has recently confirmed the configuration, and has done
    /// so after the last pause.
    pub check_config_age: bool,
    /// Keeps a report until the leader has answered a heartbeat sent after it.
    pub confirm_reports: bool,
    /// Lists granted requests in `Hello` even before their dispatch starts.
    pub report_grants: bool,
    /// Lets only one attempt of the entry use a claim.
    pub one_attempt_per_claim: bool,
    /// Rejects grants of claims that were released or have ended.
    pub reject_closed_claims: bool,
    /// Accepts a grant only for an attempt that is still waiting.
    pub check_waiting: bool,
    /// Ends a withdrawn attempt after its grace period even if no leader answers.
    pub time_out_withdrawals: bool,
}

impl Default for EntryRules {
    fn default() -> Self {
        Self {
            check_grant_age: true,
            check_ready: true,
            check_config_age: true,
            confirm_reports: true,
            report_grants: true,
            one_attempt_per_claim: true,
            reject_closed_claims: true,
            check_waiting: true,
            time_out_withdrawals: true,
        }
    }
}
