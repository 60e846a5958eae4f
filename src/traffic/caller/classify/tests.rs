use super::super::setting::Setting;
use super::*;

const READ: Plan = Plan::Run(Access::Read);
const WRITE: Plan = Plan::Run(Access::Write);
const STATE: Plan = Plan::Reject(Rejection::SessionState);
const RESERVED: Plan = Plan::Reject(Rejection::ReservedFunction);

struct Case {
    text: &'static str,
    plan: Plan,
}

fn check(plan: &Plan, texts: &[&'static str]) {
    for text in texts {
        let case = Case {
            text,
            plan: plan.clone(),
        };
        assert_eq!(classify(case.text), case.plan, "{text}");
    }
}

#[test]
fn read_only_statements_are_classified_as_reads() {
    check(
        &READ,
        &[
            "SELECT 1",
            "select count(*), max(a) from t where b in (1, 2) group by c",
            "SELECT pg_catalog.format_type(atttypid, NULL) FROM pg_attribute",
            "WITH x (a) AS (SELECT 1), y AS (SELECT 2) SELECT * FROM x, y",
            "WITH RECURSIVE r(n) AS (SELECT 1 UNION ALL SELECT n + 1 FROM r) SELECT n FROM r",
            "SELECT * FROM (VALUES (1, 2)) AS v (a, b)",
            "SELECT 'insert into t; nextval(1)'",
            "SELECT $$ delete $$, \"update\" FROM t",
            "SELECT 1 -- for update",
            "SELECT a::varchar(10), CAST(b AS numeric(10, 2)) FROM t",
            "SELECT sum(a) FILTER (WHERE b) OVER (PARTITION BY c) FROM t",
            "(SELECT 1) UNION (SELECT 2)",
            "VALUES (1), (2)",
            "TABLE t",
            "SHOW transaction_read_only",
            "BEGIN READ ONLY",
            "START TRANSACTION ISOLATION LEVEL SERIALIZABLE, READ ONLY, DEFERRABLE",
            "BEGIN READ ONLY; SELECT 1; COMMIT",
            "SELECT 1; SELECT 2",
            "COPY t TO STDOUT",
            "COPY (SELECT * FROM t) TO STDOUT WITH (FORMAT binary)",
            "SELECT EXTRACT(EPOCH FROM now())",
        ],
    );
}

#[test]
fn other_statements_are_classified_as_writes() {
    check(
        &WRITE,
        &[
            "INSERT INTO t VALUES (1)",
            "UPDATE t SET a = 1",
            "DELETE FROM t",
            "SELECT * FROM t FOR UPDATE",
            "SELECT * FROM t FOR NO KEY UPDATE SKIP LOCKED",
            "SELECT * FROM t FOR SHARE",
            "SELECT nextval('s')",
            "SELECT setval('s', 1)",
            "SELECT pg_advisory_xact_lock(1)",
            "SELECT set_config('search_path', '', true)",
            "SELECT * INTO u FROM t",
            "WITH d AS (DELETE FROM t RETURNING *) SELECT * FROM d",
            "WITH d AS MATERIALIZED (INSERT INTO t VALUES (1) RETURNING *) SELECT * FROM d",
            "SELECT own_function(1)",
            "SELECT \"count\"(1)",
            "SELECT public.count(1)",
            "BEGIN",
            "BEGIN READ WRITE",
            "BEGIN; SELECT 1; COMMIT",
            "SELECT 1; DELETE FROM t",
            "EXPLAIN ANALYZE DELETE FROM t",
            "COPY t FROM STDIN",
            "COPY (DELETE FROM t RETURNING *) TO STDOUT",
            "COMMIT PREPARED 'x'",
            "CREATE TABLE t (a int)",
            "CREATE TEMP TABLE t (a int) ON COMMIT DROP",
            "DECLARE c CURSOR FOR SELECT 1",
            "SET LOCAL work_mem = '4MB'",
            "SET TRANSACTION READ ONLY",
            "CALL p()",
            "VACUUM",
            "SELECT 'unterminated",
            "nonsense",
        ],
    );
}

#[test]
fn statements_with_lasting_session_state_are_rejected() {
    check(
        &STATE,
        &[
            "LISTEN c",
            "PREPARE p AS SELECT 1",
            "PREPARE TRANSACTION 'x'",
            "EXECUTE p",
            "CREATE TEMP TABLE t (a int)",
            "CREATE LOCAL TEMPORARY TABLE t (a int)",
            "CREATE OR REPLACE TEMP VIEW v AS SELECT 1",
            "SELECT * INTO TEMP u FROM t",
            "DECLARE c CURSOR WITH HOLD FOR SELECT 1",
            "SELECT pg_advisory_lock(1)",
            "SELECT pg_catalog.\"pg_advisory_lock\"(1)",
            "SELECT pg_try_advisory_lock_shared(1, 2)",
            "SELECT set_config('search_path', '', false)",
            "SELECT set_config('search_path', 'true', $1)",
            "SET ROLE admin",
            "SET SESSION AUTHORIZATION admin",
            "SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY",
            "SET synchronous_commit = off",
            "SET client_encoding = 'SJIS'",
            "SET statement_timeout = '1 parsec'",
            "SET TimeZone = 'UTC'; DELETE FROM t",
            "DISCARD TEMP",
            "RESET ROLE",
            "LOAD 'x'",
            "SELECT 1; LISTEN c",
            "SELECT 'x, pg_advisory_lock(1",
        ],
    );
}

#[test]
fn calls_of_reserved_functions_are_rejected() {
    check(
        &RESERVED,
        &[
            "SELECT currantlb_promote('7@vm-2')",
            "SELECT * FROM currantlb_adopt('9@x')",
            "SELECT \"currantlb_adopt\"('9@x')",
            "SELECT 1; SELECT Currantlb_Status()",
            "SELECT pg_terminate_backend(1)",
            "SELECT 'x, currantlb_adopt(1",
        ],
    );
}

#[test]
fn session_statements_are_classified_as_changes() {
    use SessionChange::{Deallocate, DeallocateAll, DiscardAll, Reset, ResetAll, Set};
    let cases = [
        (
            "SET extra_float_digits = 3",
            vec![Set(Setting::ExtraFloatDigits, "3".into())],
        ),
        (
            "SET SESSION search_path TO a, \"B\"",
            vec![Set(Setting::SearchPath, "a, B".into())],
        ),
        (
            "set time zone 'Asia/Kathmandu'",
            vec![Set(Setting::TimeZone, "Asia/Kathmandu".into())],
        ),
        (
            "SET NAMES 'UTF8'",
            vec![Set(Setting::ClientEncoding, "UTF8".into())],
        ),
        ("SET a_b.c = 1; ", vec![]),
        ("SET timezone TO DEFAULT", vec![Reset(Setting::TimeZone)]),
        ("RESET ALL", vec![ResetAll]),
        ("DISCARD ALL", vec![DiscardAll]),
        ("DEALLOCATE ALL", vec![DeallocateAll]),
        ("DEALLOCATE PREPARE Mine", vec![Deallocate("mine".into())]),
        (
            "SET lock_timeout = '5s'; RESET ALL",
            vec![Set(Setting::LockTimeout, "5s".into()), ResetAll],
        ),
    ];
    for (text, changes) in cases {
        let plan = if changes.is_empty() {
            STATE
        } else {
            Plan::Change(changes)
        };
        assert_eq!(classify(text), plan, "{text}");
    }
}

#[test]
fn text_without_statements_is_classified_as_empty() {
    check(&Plan::Empty, &["", " ; ;", "-- only a comment"]);
}
