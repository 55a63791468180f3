//! Parsing, validation and routing of the configuration document.

use burdockcleat_core::document::{
    ConfigDocument, CredentialDigest, DocumentFault, RouteError, RouteMatch, RouteQuery,
};

const BUREAU: &str = include_str!("../../../examples/bureau.toml");
const KERLOUAN: &str = include_str!("../../../examples/kerlouan.toml");

/// Parses a text that is expected to be invalid and returns its faults.
fn faults_of(text: &str) -> Vec<DocumentFault> {
    ConfigDocument::parse(text).expect_err("the document has faults")
}

fn query<'a>(workspace: &'a str, method: &'a str, path: &'a str) -> RouteQuery<'a> {
    RouteQuery { workspace, method, path, model: None, idempotent: None }
}

fn pool_and_tier<'a>(matched: &RouteMatch<'a>) -> (&'a str, &'a str) {
    (&matched.pool.name, &matched.tier.name)
}

// Guards against examples that no longer match the format, and against a credential lookup that
// does not find its workspace.
#[test]
fn examples_parse_and_their_credentials_are_found() {
    for text in [BUREAU, KERLOUAN] {
        let document = ConfigDocument::parse(text).expect("a valid example");
        assert_eq!(document.workspaces().len(), 5);
        for workspace in document.workspaces() {
            let credential = format!("test-{}", workspace.name);
            let found = document.workspace_by_credential(&credential);
            assert_eq!(found, Some(workspace));
        }
        assert_eq!(document.workspace_by_credential("test-"), None);
        assert_eq!(ConfigDocument::parse(&document.to_toml()), Ok(document));
    }
}

// Guards against validation that stops at the first fault or reports a wrong path.
#[test]
fn every_fault_is_reported_with_its_path() {
    let text = BUREAU
        .replace("queue-limit = 600", "queue-limit = 0\ncolour = \"red\"")
        .replace("targets-max = 6", "targets-max = -6")
        .replace("rank = 2", "rank = 1")
        .replace("weight = 8", "weight = \"heavy\"")
        .replace("pools = [\"hinge-model\"]", "pools = [\"hinge-modl\"]")
        .replace("head-bytes = 16384", "head-bytes = 1")
        .replace("tier = \"batch\"", "tier = \"urgent\"");
    let found: Vec<String> = faults_of(&text).iter().map(ToString::to_string).collect();
    let expected = [
        "workspaces[0].weight: is a string; expected an integer from 1 to 1000",
        "pools[0].colour: unknown field `colour`",
        "pools[1].targets-max: -6 is outside the range 1 to 10000",
        "tiers[2].rank: is the same as tiers[1].rank; values must be unique",
        "tiers: no tier has rank 2; ranks must run from 0 without gaps",
        "workspaces[2].pools[0]: there is no pool named \"hinge-modl\"",
        "pools[0].queue-limit: 0 is outside the range 1 to 1000000",
        "rules[3].pool: workspace \"catalogue-office\" does not allow pool \"hinge-model\"",
        "rules[3].tier: workspace \"catalogue-office\" does not allow tier \"urgent\"",
        "limits.head-bytes: 1 is outside the range 1024 to 1048576",
    ];
    assert_eq!(found.len(), expected.len(), "{found:#?}");
    for (found, expected) in found.iter().zip(expected) {
        assert!(found.starts_with(expected), "{found:?} is not {expected:?}");
    }
}

// Guards against messages that quote a credential that an operator entered in plaintext.
#[test]
fn a_plaintext_credential_is_refused_and_not_quoted() {
    let digest = CredentialDigest::compute("bureau-example-1", "test-audit-desk").to_string();
    let listed = BUREAU.replace(&digest, "s3cret");
    let alone = BUREAU.replace(&format!("[\"{digest}\"]"), "\"s3cret\"");
    let broken = BUREAU.replace(&format!("[\"{digest}\"]"), "\"s3cret");
    for text in [listed, alone, broken] {
        let faults = faults_of(&text);
        assert_eq!(faults.len(), 1, "{faults:?}");
        assert!(!format!("{faults:?} {}", faults[0]).contains("s3cret"), "{faults:?}");
    }
}

// Guards against a syntax error without a position.
#[test]
fn a_syntax_error_has_line_and_column() {
    let faults = faults_of("[limits]\nbody-bytes = = 3\n");
    assert_eq!(faults.len(), 1);
    assert!(faults[0].to_string().starts_with("line 2, column 14: "), "{}", faults[0]);
}

// Guards against an order confirmation that is treated as idempotent and may then run twice.
#[test]
fn orders_are_never_idempotent() {
    let bureau = ConfigDocument::parse(BUREAU).expect("a valid example");
    let kerlouan = ConfigDocument::parse(KERLOUAN).expect("a valid example");
    let orders = [
        (&bureau, "railway-workshops", "/svc/depot-orders/confirmations"),
        (&kerlouan, "dealer-network", "/svc/kit-orders/kits"),
    ];
    for (document, workspace, path) in orders {
        for stated in [None, Some(true), Some(false)] {
            let query = RouteQuery { idempotent: stated, ..query(workspace, "POST", path) };
            assert!(!document.route(&query).expect("a route").idempotent);
        }
    }
    let read = query("audit-desk", "GET", "/svc/depot-orders/confirmations/7");
    let matched = bureau.route(&read).expect("a route");
    assert_eq!(pool_and_tier(&matched), ("depot-orders", "standard"));
    assert!(matched.idempotent);
}

// Guards against rules that are tried in the wrong order, and against prefixes that match part of
// a path segment.
#[test]
fn the_first_matching_rule_decides() {
    let bureau = ConfigDocument::parse(BUREAU).expect("a valid example");
    let route_model = |workspace, model| {
        let query = RouteQuery { model, ..query(workspace, "POST", "/v1/completions") };
        bureau.route(&query).map(|matched| pool_and_tier(&matched))
    };
    let catalogue = Some("hinge-spares-13b-catalogue");
    assert_eq!(route_model("catalogue-office", catalogue), Ok(("hinge-model", "batch")));
    assert_eq!(route_model("railway-workshops", catalogue), Ok(("hinge-model", "urgent")));
    assert_eq!(route_model("school-repairs", catalogue), Ok(("hinge-model", "standard")));
    assert_eq!(route_model("school-repairs", None), Err(RouteError::MissingModel));
    let (pool, model) = ("hinge-model".to_owned(), "other".to_owned());
    let error = RouteError::ModelNotServed { pool, model };
    assert_eq!(route_model("school-repairs", Some("other")), Err(error));
    let within = query("school-repairs", "GET", "/svc/depot-orders-old");
    assert_eq!(bureau.route(&within), Err(RouteError::NoMatchingRule));
}

// Guards against a rule without a workspace that gives a workspace access to a pool or tier that it
// may not use.
#[test]
fn a_rule_does_not_extend_the_permissions_of_a_workspace() {
    let bureau = ConfigDocument::parse(BUREAU).expect("a valid example");
    let order = query("audit-desk", "POST", "/svc/depot-orders/confirmations");
    let error = RouteError::TierNotAllowed("urgent".to_owned());
    assert_eq!(bureau.route(&order), Err(error));
    let stock = query("catalogue-office", "GET", "/svc/depot-orders/stock");
    let error = RouteError::PoolNotAllowed("depot-orders".to_owned());
    assert_eq!(bureau.route(&stock), Err(error));
    let unknown = query("nobody", "GET", "/svc/depot-orders/stock");
    assert_eq!(bureau.route(&unknown), Err(RouteError::UnknownWorkspace("nobody".to_owned())));
}
