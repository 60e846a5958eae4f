use serde_json::json;

use super::*;
use crate::configuration::Limits;

#[test]
fn a_difference_names_the_field_and_both_values() {
    let quiet = Preset {
        name: "quiet".into(),
        description: String::new(),
        limits: BTreeMap::from([("council".into(), Limits::default())]),
        routes: BTreeMap::new(),
        maintenance: std::collections::BTreeSet::new(),
    };
    let mut peak = Preset {
        name: "peak".into(),
        ..quiet.clone()
    };
    let limits = Limits {
        rate_per_s: 500.0,
        ..Limits::default()
    };
    peak.limits.insert("council".into(), limits);
    peak.maintenance.insert("a".into());

    let found = differences(&flatten(&quiet), &flatten(&peak));
    let expected = [
        Difference {
            field: "limits.council.rate_per_s".to_owned(),
            from: Some(json!(100.0)),
            to: Some(json!(500.0)),
        },
        Difference {
            field: "maintenance".to_owned(),
            from: Some(json!([])),
            to: Some(json!(["a"])),
        },
    ];
    assert_eq!(found, expected);
    assert!(differences(&flatten(&quiet), &flatten(&quiet)).is_empty());
}
