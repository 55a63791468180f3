//! The compressed form of documents.

use burdockcleat_edge::document::{compress, decompress};

/// A document with as many routes as the largest ones, with names of their own.
fn large_document() -> Vec<u8> {
    let route = |n: u64| {
        let name = n.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        format!(
            r#"{{"name":"r-{name:x}","host":"{:x}.example","prefix":"/{:x}/","kind":"streaming","timeout_ms":5000,"objective_ms":500,"priority":0,"split":[{{"service":"engines","weight":100}}],"max_attempts":2,"open":false,"resumable":true,"pause_ms":300}}"#,
            name >> 40,
            name >> 36
        )
    };
    let routes: Vec<_> = (0..1_300).map(route).collect();
    format!("[{}]", routes.join(",")).into_bytes()
}

/// Pattern: a document of a thousand routes, fetched by seventy nodes from one replica. Its link is
/// busy for seconds, and rounds do not end within their time.
#[test]
fn a_large_document_shrinks_to_a_fifth() {
    let document = large_document();
    let compressed = compress(&document).expect("packs");
    assert!(compressed.len() * 5 < document.len(), "{} of {}", compressed.len(), document.len());
    assert_eq!(decompress(&compressed).expect("unpacks"), document);
}

/// Bytes that are no document are taken for one.
#[test]
fn damaged_documents_are_refused() {
    assert!(decompress(b"{\"version\":1}").is_err());
    assert_eq!(decompress(&compress(b"").expect("packs")).expect("unpacks"), b"");
}
