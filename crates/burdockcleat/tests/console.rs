//! Tests of the web console: rendering, form parsing and protection against cross-site posts.

#[path = "../../core/tests/support/documents.rs"]
mod documents;

use burdockcleat::console::{
    AUTHOR_FIELD, BASE_VERSION_FIELD, CSRF_TOKEN_FIELD, ConsoleOutcome, ConsoleView, CsrfToken,
    FormFields, OPERATION_ID_FIELD, PostRefusal, WorkspacePage, check_post, decode_form,
    form_fields, read_form, rebase_fields, render_page, render_refusal, with_hidden_rows,
};
use burdockcleat_core::document::ConfigDocument;
use documents::document;
use proptest::prelude::*;
use std::collections::BTreeMap;

const EXAMPLE_DOCUMENT: &str = include_str!("../../../examples/bureau.toml");
const HOST: Option<&str> = Some("127.0.0.1:7300");

fn example_document() -> ConfigDocument {
    ConfigDocument::parse(EXAMPLE_DOCUMENT).expect("a valid example")
}

fn view(fields: FormFields) -> ConsoleView {
    ConsoleView {
        base_version: 7,
        operation_id: "op-1".to_owned(),
        token: CsrfToken::from_random(42),
        author: "oyun".to_owned(),
        faults: read_form(&fields).err().unwrap_or_default(),
        fields,
        workspace_page: WorkspacePage::default(),
        outcome: ConsoleOutcome::Editing,
    }
}

fn set(fields: &mut FormFields, name: &str, value: &str) {
    fields.retain(|(key, _)| key != name);
    fields.push((name.to_owned(), value.to_owned()));
}

fn unescape(text: &str) -> String {
    text.replace("&lt;", "<").replace("&gt;", ">").replace("&quot;", "\"").replace("&amp;", "&")
}

/// Returns the unescaped text between `start` and `end`.
fn between(text: &str, start: &str, end: &str) -> Option<String> {
    let (_, rest) = text.split_once(start)?;
    rest.split_once(end).map(|(found, _)| unescape(found))
}

/// Returns the fields that a browser would post from the page.
fn posted_by_browser(page: &str) -> FormFields {
    let mut fields = FormFields::new();
    for tag in ["<input ", "<textarea ", "<select "] {
        // The search form precedes the configuration form and is not posted with it.
        let form = page.split_once("<form method=\"post\"").map_or(page, |(_, form)| form);
        for part in form.split(tag).skip(1) {
            let Some(name) = between(part, "name=\"", "\"") else { continue };
            let head = part.split_once('>').map_or(part, |(head, _)| head);
            let value = match tag {
                "<input " if head.contains("checkbox") => continue,
                "<input " => between(head, "value=\"", "\""),
                "<textarea " => between(part, ">\n", "</textarea>"),
                _ => {
                    let options = part.split_once("</select>").map_or("", |(options, _)| options);
                    let selected = options.split("<option ").find(|o| o.contains(" selected>"));
                    selected.and_then(|option| between(option, "value=\"", "\""))
                }
            };
            fields.push((name, value.unwrap_or_default()));
        }
    }
    fields
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    // Guards against a form that loses or changes a field without an edit.
    #[test]
    fn a_form_without_edits_gives_the_same_document(document in document()) {
        let fields = form_fields(&document);
        prop_assert_eq!(read_form(&fields), Ok(document.clone()));
        let posted = posted_by_browser(&render_page(&view(fields)));
        let body = form_urlencoded::Serializer::new(String::new()).extend_pairs(&posted).finish();
        prop_assert_eq!(read_form(&decode_form(body.as_bytes())), Ok(document.clone()));
        prop_assert_eq!(ConfigDocument::parse(&document.to_toml()), Ok(document));
    }

    // Guards against HTML injection: a posted value that closes a tag or an attribute of the page.
    #[test]
    fn posted_text_never_becomes_markup(name in "workspaces\\[[0-9]\\]\\.(name|pools)", text in "\\PC{0,20}") {
        let hostile = format!("\"'></textarea><script>{text}</script><b a='");
        let mut fields = form_fields(&example_document());
        for name in [&name, "rules[1].path-prefix", "workspaces[0].credentials", "pools[0].kind", "x<b>"] {
            set(&mut fields, name, &hostile);
        }
        let page = render_page(&view(fields));
        prop_assert!(!page.contains("<script") && !page.contains("<b a") && !page.contains("<b>"));
    }
}

// Guards against faults that are not shown, or not beside their field.
#[test]
fn every_fault_is_shown_beside_its_field() {
    let mut fields = form_fields(&example_document());
    set(&mut fields, "workspaces[3].weight", "0");
    set(&mut fields, "pools[1].targets-max", "many");
    set(&mut fields, "rules[0].pool", "nowhere");
    set(&mut fields, "workspaces[0].tiers", "urgent, later");
    set(&mut fields, "workspaces[1].credentials", "s3cret");
    set(&mut fields, "limits.head-bytes", "1");
    set(&mut fields, "rules[2].place", "first");
    set(&mut fields, "pools[0].shade", "red");
    set(&mut fields, "tiers[2].rank", "5");
    let view = view(fields);
    let page = render_page(&view);
    let mut beside = BTreeMap::new();
    for label in page.split("<label>").skip(1) {
        let label = label.split_once("</label>").map_or(label, |(label, _)| label);
        let name = between(label, "name=\"", "\"").unwrap_or_default();
        for fault in label.split("role=\"alert\">").skip(1) {
            let fault = fault.split_once("</span>").map_or(fault, |(fault, _)| fault);
            beside.insert(name.clone(), unescape(fault));
        }
    }
    let expected = [
        ("limits.head-bytes", "1 is outside the range 1024 to 1048576"),
        ("pools[1].targets-max", "is a string; expected an integer from 1 to 10000"),
        ("rules[0].pool", "there is no pool named \"nowhere\""),
        ("rules[2].place", "must be a whole number"),
        ("workspaces[0].tiers", "there is no tier named \"later\""),
        ("workspaces[3].weight", "0 is outside the range 1 to 1000"),
    ];
    for (name, message) in expected {
        assert_eq!(beside.remove(name).as_deref(), Some(message), "{name}");
    }
    let credentials = beside.remove("workspaces[1].credentials").expect("a fault");
    assert!(credentials.starts_with("expected a list of `sha256:` digests"), "{credentials}");
    assert!(beside.is_empty(), "{beside:?}");
    for text in ["pools[0].shade: the form has no such field", "tiers: no tier has rank 2"] {
        assert!(page.contains(&format!("<li>{text}")), "{text}");
    }
    assert_eq!(view.faults.len(), 9);
}

// Guards against a removed row that is kept, or that shifts the faults of later rows to other rows.
#[test]
fn rows_are_removed_added_and_reordered() {
    let mut fields = form_fields(&example_document());
    let first_rule = example_document().rules()[0].name.clone();
    set(&mut fields, "rules[0].place", "9");
    set(&mut fields, "workspaces[2].remove", "on");
    set(&mut fields, "tiers[3].name", "idle");
    set(&mut fields, "tiers[3].rank", "3");
    let document = read_form(&fields).expect("a valid form");
    assert_eq!(document.workspaces().len(), 4);
    assert_eq!(document.rules().last().map(|rule| &rule.name), Some(&first_rule));
    assert_eq!(document.tier("idle").map(|tier| tier.max_queue_ms), Some(2_000));
    set(&mut fields, "workspaces[4].weight", "0");
    let faults = read_form(&fields).expect_err("a fault after the removed row");
    assert_eq!(faults[0].path, "workspaces[4].weight");
}

// Guards against a double click that creates two versions: both posts must contain the hidden
// fields of the same page. Also guards against a conflict page that does not list the changes of a
// concurrent edit that the posted document would overwrite.
#[test]
fn a_post_contains_the_base_version_and_operation_id_of_its_page() {
    let page = render_page(&view(form_fields(&example_document())));
    let posted = posted_by_browser(&page);
    let first = check_post(&CsrfToken::from_random(42), HOST, None, &posted).expect("accepted");
    assert_eq!((first.base_version, first.operation_id.as_str()), (7, "op-1"));
    assert_eq!(first.author, "oyun");
    let again = check_post(&CsrfToken::from_random(42), HOST, None, &posted).expect("accepted");
    assert_eq!(first, again);

    let edited = |from: &str, to: &str| {
        ConfigDocument::parse(&EXAMPLE_DOCUMENT.replacen(from, to, 1)).expect("a valid document")
    };
    let theirs = edited("weight = 8", "weight = 6");
    let yours = edited("queue-limit = 600", "queue-limit = 500");
    let outcome = ConsoleOutcome::conflict(Some(&example_document()), 8, &theirs, &yours);
    let page = render_page(&ConsoleView { base_version: 8, outcome, ..view(form_fields(&yours)) });
    for change in [
        "~ workspaces.provincial-depots.weight: 8 -&gt; 6",
        "~ workspaces.provincial-depots.weight: 6 -&gt; 8",
        "~ pools.hinge-model.queue-limit: 600 -&gt; 500",
        "Apply this document over version 8",
    ] {
        assert!(page.contains(change), "{change}");
    }
    let posted = posted_by_browser(&page);
    assert_eq!(read_form(&posted), Ok(yours));
}

// Guards against cross-site request forgery, with and without a domain name that resolves to the
// address of the console.
#[test]
fn a_cross_site_post_is_refused() {
    let token = CsrfToken::from_random(42);
    let post = |token_text: &str| {
        let pairs =
            [(CSRF_TOKEN_FIELD, token_text), (BASE_VERSION_FIELD, "7"), (OPERATION_ID_FIELD, "a")];
        pairs.map(|(name, value)| (name.to_owned(), value.to_owned()))
    };
    let good = post(token.as_str());
    let own = Some("http://127.0.0.1:7300");
    assert!(check_post(&token, HOST, own, &good).is_ok());
    assert!(check_post(&token, Some("[::1]:7300"), None, &good).is_ok());
    let check = |host, origin, fields: &[(String, String)]| {
        check_post(&token, host, origin, fields).expect_err("refused")
    };
    for wrong in ["", "0", &token.as_str()[1..], CsrfToken::from_random(43).as_str()] {
        assert_eq!(check(HOST, own, &post(wrong)), PostRefusal::InvalidToken);
    }
    assert_eq!(check(HOST, own, &good[1..]), PostRefusal::InvalidToken);
    for origin in ["http://evil.example", "null", "http://127.0.0.1:7301", "https://127.0.0.1:7300"]
    {
        assert_eq!(check(HOST, Some(origin), &good), PostRefusal::CrossOrigin);
    }
    for host in [None, Some("evil.example:7300"), Some("127.0.0.1.evil.example")] {
        assert_eq!(check(host, None, &good), PostRefusal::InvalidHost);
    }
    assert_eq!(check(HOST, own, &good[..2]), PostRefusal::Incomplete);
    assert!(render_refusal(PostRefusal::CrossOrigin).contains("another site"));
    assert!(!good.iter().any(|(name, _)| name == AUTHOR_FIELD));
}

/// Returns the example document with additional workspaces.
fn large_document(count: usize) -> ConfigDocument {
    let mut text = EXAMPLE_DOCUMENT.to_owned();
    for number in 0..count {
        let digest = format!("sha256:{number:064x}");
        text.push_str(&format!(
            "\n[[workspaces]]\nname = \"clinic-{number:04}\"\ncredentials = [\"{digest}\"]\n\
             pools = [\"hinge-model\"]\ntiers = [\"standard\"]\n"
        ));
    }
    ConfigDocument::parse(&text).expect("a valid document")
}

fn paged_view(document: &ConfigDocument, search: &str, page: usize) -> ConsoleView {
    let workspace_page = WorkspacePage::select(document, search, page);
    ConsoleView { workspace_page: workspace_page.clone(), ..view(workspace_page.fields(document)) }
}

// Guards against a save that removes or changes workspaces on other pages, a new row that replaces
// one of them, and a page whose size grows with the document.
#[test]
fn saving_a_page_keeps_the_workspaces_of_other_pages() {
    let document = large_document(7_100);
    let shown = paged_view(&document, "", 2);
    assert_eq!((shown.workspace_page.page_count, shown.workspace_page.rows.len()), (72, 100));
    let page = render_page(&shown);
    assert!(page.len() < 200_000, "{} bytes", page.len());
    assert!(!page.contains("clinic-0097") && page.contains("clinic-0098"));
    let mut posted = posted_by_browser(&page);
    assert_eq!(read_form(&with_hidden_rows(&document, posted.clone())), Ok(document.clone()));

    set(&mut posted, "workspaces[150].weight", "7");
    set(&mut posted, "workspaces[151].remove", "on");
    set(&mut posted, "workspaces[7105].name", "new");
    set(&mut posted, "workspaces[7105].pools", "hinge-model");
    set(&mut posted, "workspaces[7105].tiers", "standard");
    set(&mut posted, "workspaces[7105].credentials", &format!("sha256:{}", "a".repeat(64)));
    let edited = read_form(&with_hidden_rows(&document, posted)).expect("a valid form");
    let changes: Vec<String> =
        document.changes_to(&edited).iter().map(ToString::to_string).collect();
    assert_eq!(changes.len(), 3, "{changes:?}");
    assert!(changes.contains(&"~ workspaces.clinic-0148.weight: 1 -> 7".to_owned()), "{changes:?}");

    let found = paged_view(&document, "CLINIC-70", 9);
    assert_eq!((found.workspace_page.number, found.workspace_page.rows.len()), (1, 100));
    let posted = posted_by_browser(&render_page(&found));
    assert_eq!(read_form(&with_hidden_rows(&document, posted)), Ok(document));
}

// Guards against a conflict page that applies an edit to another workspace because rows have moved.
#[test]
fn a_conflict_matches_rows_by_workspace_name() {
    let base = large_document(300);
    let workspace_page = WorkspacePage::select(&base, "clinic-0200", 1);
    let mut posted = workspace_page.fields(&base);
    set(&mut posted, "workspaces[202].weight", "9");
    let mut theirs = form_fields(&base);
    set(&mut theirs, "workspaces[3].remove", "on");
    set(&mut theirs, "workspaces[250].weight", "5");
    let current = read_form(&theirs).expect("valid");
    let carried = rebase_fields(&base, &current, &posted);
    let yours = read_form(&with_hidden_rows(&current, carried)).expect("valid");
    let changes: Vec<String> = current.changes_to(&yours).iter().map(ToString::to_string).collect();
    assert_eq!(changes, ["~ workspaces.clinic-0200.weight: 1 -> 9"]);
}
