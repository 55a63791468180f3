//! Tests of the classification of requests from the log lines of nodes.

use burdockcleat_testbed::account::{CategoryTable, LogReader, RequestCategory};

const STARTED_LINE: &str = "t=5 level=INFO node=n-1 event=node.started wall_ms=1000005 process=a";

fn answered_line(extra_fields: &str) -> String {
    format!(
        "   0.32 n-1 t=900 level=INFO node=n-1 event=request.answered id=a route=r status=200 how=stream \
         target=i-1 sends=1 waited_ms=3 first_ms=40 pause_ms=20 after_ms=100 prompt=5 output=9 hint=3 \
         rank=17 objective_ms=400 allowed_pause_ms=300 spent_ms=0 {extra_fields}"
    )
}

/// Guards against a request that is counted under the wrong cause, or at the time at which it ended
/// instead of the time at which it arrived.
#[test]
fn each_line_is_counted_under_its_cause() {
    let mut reader = LogReader::default();
    assert_eq!(reader.read(STARTED_LINE), None);
    let mut category = |line: String| reader.read(&line).expect("the end of a request").category;
    assert_eq!(category(answered_line("")), RequestCategory::OnTime);
    let answered_with = |from, to| answered_line("").replace(from, to);
    assert_eq!(
        category(answered_with("first_ms=40", "first_ms=500")),
        RequestCategory::LateFirstEvent
    );
    let long_wait =
        answered_with("first_ms=40", "first_ms=500").replace("waited_ms=3", "waited_ms=450");
    assert_eq!(category(long_wait), RequestCategory::LateWait);
    assert_eq!(category(answered_with("spent_ms=0", "spent_ms=900")), RequestCategory::LateResend);
    assert_eq!(
        category(answered_with(" pause_ms=20", " pause_ms=301")),
        RequestCategory::LatePause
    );
    assert_eq!(category(answered_with("status=200", "status=500")), RequestCategory::TargetFailed);
    let refused_line = |reason: &str| {
        format!(
            "t=900 level=INFO node=n-1 event=request.refused id=a reason=\"{reason}\" after_ms=2"
        )
    };
    let wait = "the wait for a target would be too long";
    assert_eq!(category(refused_line(wait)), RequestCategory::RefusedWait);
    let allowance = "over the allowance of the workspace";
    assert_eq!(category(refused_line(allowance)), RequestCategory::RefusedAllowance);
    assert_eq!(category(refused_line("no route matches")), RequestCategory::RefusedOther);
    let request = reader.read(&answered_line("")).expect("the end of a request");
    assert_eq!((request.arrived_ms, request.rank), (1_000_800, Some(1)));
    assert_eq!(reader.read("t=9 level=INFO node=n-1 event=config.applied version=3"), None);
}

/// Guards against a table that omits requests from a row or from the total.
#[test]
fn tables_include_all_requests() {
    let mut table = CategoryTable::default();
    table.count(1, RequestCategory::OnTime);
    table.count(1, RequestCategory::OnTime);
    table.count(2, RequestCategory::RefusedWait);
    let text = table.render("rank");
    assert!(text.contains("| 1 | 2 | 0 |"), "{text}");
    assert!(text.contains("| all | 2 | 0 | 0 | 0 | 0 | 0 | 1 |"), "{text}");
}
