use super::*;

struct Case {
    text: &'static str,
    kind: Kind,
    sql: &'static str,
}

#[test]
fn statements_are_classified_and_rewritten_for_sqlite() {
    let cases = [
        Case {
            text: "",
            kind: Kind::Empty,
            sql: "",
        },
        Case {
            text: "SELECT a FROM t WHERE id = $1::bigint FOR UPDATE",
            kind: Kind::Write,
            sql: "SELECT a FROM t WHERE id = CAST(?1 AS INTEGER)",
        },
        Case {
            text: "SELECT 1 /*session='a'*/",
            kind: Kind::Read,
            sql: "SELECT 1 AS \"?column?\"",
        },
        Case {
            text: "BEGIN READ ONLY",
            kind: Kind::Begin { read_only: true },
            sql: "",
        },
        Case {
            text: "CREATE TABLE t (id BIGSERIAL PRIMARY KEY, n INTEGER)",
            kind: Kind::Write,
            sql: "CREATE TABLE t (id INTEGER PRIMARY KEY, n INT4)",
        },
        Case {
            text: "SELECT adopted, is_primary, last FROM currantlb_adopt('7@vm-2')",
            kind: Kind::Term(TermCall::Adopt {
                term: "7@vm-2".to_owned(),
            }),
            sql: "",
        },
        Case {
            text: "SELECT pg_terminate_backend(pid) FROM pg_stat_activity WHERE application_name LIKE 'c/%' \
                   AND application_name <> 'c/vm/1'",
            kind: Kind::Terminate {
                like: "c/%".to_owned(),
                except: Some("c/vm/1".to_owned()),
            },
            sql: "",
        },
        Case {
            text: "SET search_path TO 'a'",
            kind: Kind::Set {
                name: "search_path".to_owned(),
                value: "a".to_owned(),
            },
            sql: "",
        },
    ];
    for case in cases {
        let plans = parse(case.text).expect(case.text);
        assert_eq!(plans[0].kind, case.kind, "{}", case.text);
        if !case.sql.is_empty() {
            assert_eq!(&*plans[0].sql, case.sql);
        }
    }
}
