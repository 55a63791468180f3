//! Rules of the entry's side that tests turn off one at a time.

/// Rules of the agent. All are on in production; only the specification's tests turn one off, to
/// show that the search finds the fault that the rule prevents.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct EntryRules {
    /// A grant is not used after its time to live.
    pub check_grant_age: bool,
    /// An entry that is not ready uses no grant.
    pub check_ready: bool,
    /// New requests wait until the leader has confirmed the configuration after a pause.
    pub check_config_age: bool,
    /// A report is kept until the leader answered a question that followed it.
    pub confirm_reports: bool,
    /// `Hello` names granted requests, too, before they start to dispatch.
    pub report_grants: bool,
    /// A claim is used by one attempt of the entry only.
    pub one_attempt_per_claim: bool,
    /// A claim that was given back or has ended is not used again.
    pub reject_closed_claims: bool,
    /// A grant is used only by an attempt that still waits.
    pub check_waiting: bool,
    /// A withdrawn attempt ends after its grace even if no leader answers.
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
