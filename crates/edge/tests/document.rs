//! Compression of configuration documents.

use burdockcleat_edge::document::{compress, decompress};

/// Builds a document with as many routes as the largest ones, all with distinct names.
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

/// Guards against a saturated link: when 70 nodes fetch a document of 1,000 routes from one
/// replica, the transfers take seconds and rounds of the register time out.
#[test]
fn a_large_document_compresses_to_less_than_a_fifth() {
    let document = large_document();
    let compressed = compress(&document).expect("compression");
    assert!(compressed.len() * 5 < document.len(), "{} of {}", compressed.len(), document.len());
    assert_eq!(decompress(&compressed).expect("decompression"), document);
}

/// Guards against accepting bytes that are not a compressed document.
#[test]
fn corrupt_data_is_rejected() {
    assert!(decompress(b"{\"version\":1}").is_err());
    assert_eq!(decompress(&compress(b"").expect("compression")).expect("decompression"), b"");
}
