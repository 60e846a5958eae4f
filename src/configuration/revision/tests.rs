use super::*;

#[test]
fn a_revision_of_a_later_timeline_is_newer_although_its_number_is_lower() {
    struct Case {
        older: Revision,
        newer: Revision,
    }
    let cases = [
        Case {
            older: Revision(110),
            newer: Revision::new(Timeline(1), 91),
        },
        Case {
            older: Revision::new(Timeline(3), 110),
            newer: Revision::new(Timeline(4), 0),
        },
        Case {
            older: Revision::new(Timeline(4), 91),
            newer: Revision::new(Timeline(4), 92),
        },
    ];
    for Case { older, newer } in cases {
        assert!(older < newer, "{older:?} {newer:?}");
        let parts = Revision::new(newer.timeline(), newer.number());
        assert_eq!(parts, newer);
    }
}
