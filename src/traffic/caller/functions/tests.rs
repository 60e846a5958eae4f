use super::*;

#[test]
fn side_effect_free_functions_are_sorted_and_contain_no_writes() {
    assert!(SIDE_EFFECT_FREE.is_sorted());
    let writes = [
        "nextval",
        "setval",
        "lo_unlink",
        "pg_notify",
        "txid_current",
    ];
    for name in writes {
        assert!(SIDE_EFFECT_FREE.binary_search(&name).is_err(), "{name}");
    }
}
