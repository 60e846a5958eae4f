use super::*;

#[test]
fn harmless_functions_can_be_searched() {
    assert!(HARMLESS.is_sorted());
    let writes = [
        "nextval",
        "setval",
        "lo_unlink",
        "pg_notify",
        "txid_current",
    ];
    for name in writes {
        assert!(HARMLESS.binary_search(&name).is_err(), "{name}");
    }
}
