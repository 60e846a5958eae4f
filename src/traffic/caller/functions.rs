//! Functions and keywords, grouped by their effects.

use sqlparser::keywords::Keyword;
use sqlparser::tokenizer::{Token, Word};

/// Prefix of the functions that are reserved for the VMs.
pub(super) const RESERVED_PREFIX: &str = "currantlb_";

/// Functions that act on other sessions.
pub(super) const CROSS_SESSION_FUNCTIONS: &[&str] = &["pg_cancel_backend", "pg_terminate_backend"];

/// Functions whose effect outlives the transaction and is tied to one connection.
pub(super) const SESSION_STATE_FUNCTIONS: &[&str] = &[
    "dblink_connect",
    "dblink_connect_u",
    "pg_advisory_lock",
    "pg_advisory_lock_shared",
    "pg_advisory_unlock",
    "pg_advisory_unlock_all",
    "pg_advisory_unlock_shared",
    "pg_try_advisory_lock",
    "pg_try_advisory_lock_shared",
    "setseed",
];

/// Keywords that never occur in a read-only statement.
#[rustfmt::skip]
pub(super) const WRITING_KEYWORDS: &[&str] = &[
    "ALTER", "CALL", "CREATE", "DELETE", "DROP", "EXECUTE", "GRANT", "INSERT", "INTO", "LOCK",
    "MERGE", "REFRESH", "REVOKE", "TRUNCATE", "UPDATE",
];

/// Keywords that may precede a parenthesis without being a function call.
#[rustfmt::skip]
const BEFORE_PARENTHESIS: &[&str] = &[
    "ALL", "AND", "ANY", "ARRAY", "AS", "BETWEEN", "BY", "CASE", "COPY", "CROSS", "CUBE",
    "DISTINCT",
    "ELSE", "EXCEPT", "EXISTS", "FILTER", "FROM", "GROUP", "GROUPING", "HAVING", "ILIKE", "IN",
    "INTERSECT", "IS", "JOIN", "LATERAL", "LIKE", "LIMIT", "MATERIALIZED", "NOT", "OFFSET", "ON",
    "OR", "OVER", "ROLLUP", "ROW", "SELECT", "SETS", "SOME", "THEN", "TO", "UNION", "USING",
    "VALUES", "WHEN", "WHERE", "WITH", "WITHIN",
];

/// Types that take a length or precision in parentheses.
#[rustfmt::skip]
const TYPES: &[&str] = &[
    "bit", "char", "character", "decimal", "float", "interval", "numeric", "time", "timestamp",
    "timestamptz", "varbit", "varchar", "varying",
];

/// Functions of the database, including the spatial `st_*` functions, that neither write nor lock.
/// Sorted, for binary search.
#[rustfmt::skip]
const SIDE_EFFECT_FREE: &[&str] = &[
    "abs", "age", "array_agg", "array_append", "array_length", "array_position", "array_remove",
    "array_to_json", "array_to_string", "avg", "bit_and", "bit_or", "bool_and", "bool_or", "btrim",
    "cardinality", "cast", "ceil", "ceiling", "char_length", "coalesce", "col_description",
    "concat", "concat_ws", "convert_from", "convert_to", "corr", "cos", "count", "cume_dist",
    "current_database", "current_schema", "current_schemas", "current_setting", "date_bin",
    "date_part", "date_trunc", "decode", "degrees", "dense_rank", "div", "encode", "every", "exp",
    "extract", "first_value", "floor", "format", "format_type", "gen_random_uuid",
    "generate_series", "generate_subscripts", "greatest", "has_database_privilege",
    "has_schema_privilege", "has_table_privilege", "hashtext", "initcap", "json_agg",
    "json_array_elements", "json_array_elements_text", "json_array_length", "json_build_array",
    "json_build_object", "json_each", "json_each_text", "json_extract_path",
    "json_extract_path_text", "json_object_agg", "json_object_keys", "json_typeof", "jsonb_agg",
    "jsonb_array_elements", "jsonb_array_elements_text", "jsonb_array_length", "jsonb_build_array",
    "jsonb_build_object", "jsonb_each", "jsonb_each_text", "jsonb_extract_path",
    "jsonb_extract_path_text", "jsonb_object_agg", "jsonb_object_keys", "jsonb_path_exists",
    "jsonb_path_query", "jsonb_pretty", "jsonb_set", "jsonb_typeof", "lag", "last_value", "lead",
    "least", "left", "length", "ln", "log", "lower", "lpad", "ltrim", "make_date", "make_interval",
    "make_timestamp", "max", "md5", "min", "mod", "now", "ntile", "nullif", "obj_description",
    "octet_length", "overlay", "percent_rank", "percentile_cont", "percentile_disc",
    "pg_encoding_to_char", "pg_get_constraintdef", "pg_get_expr", "pg_get_function_arguments",
    "pg_get_indexdef", "pg_get_serial_sequence", "pg_get_userbyid", "pg_get_viewdef",
    "pg_is_in_recovery", "pg_relation_size", "pg_size_pretty", "pg_sleep", "pg_table_is_visible",
    "pg_total_relation_size", "pg_type_is_visible", "pg_typeof", "pi", "position", "power",
    "quote_ident", "quote_literal", "radians", "random", "rank", "regexp_matches", "regexp_replace",
    "regexp_split_to_array", "regexp_split_to_table", "repeat", "replace", "reverse", "right",
    "round", "row_number", "row_to_json", "rpad", "rtrim", "sha256", "sign", "sin", "split_part",
    "sqrt", "st_area", "st_asbinary", "st_asewkb", "st_asgeojson", "st_asmvt", "st_asmvtgeom",
    "st_astext", "st_buffer", "st_centroid", "st_contains", "st_distance", "st_dwithin",
    "st_envelope", "st_geomfromgeojson", "st_geomfromtext", "st_geomfromwkb", "st_intersection",
    "st_intersects", "st_length", "st_makeenvelope", "st_makepoint", "st_setsrid", "st_simplify",
    "st_srid", "st_tileenvelope", "st_transform", "st_union", "st_within", "st_x", "st_y",
    "starts_with", "stddev", "stddev_pop", "stddev_samp", "string_agg", "string_to_array", "strpos",
    "substr", "substring", "sum", "tan", "to_char", "to_date", "to_json", "to_jsonb", "to_number",
    "to_timestamp", "to_tsquery", "to_tsvector", "translate", "trim", "trunc", "ts_rank", "unnest",
    "upper", "var_pop", "var_samp", "variance", "version", "websearch_to_tsquery", "width_bucket",
    "xpath",
];

/// Returns whether a word before a parenthesis is known to be free of side effects.
///
/// A schema-qualified name is accepted only in `pg_catalog`. A quoted name is never accepted.
pub(super) fn is_side_effect_free(word: &Word, before: &[Token]) -> bool {
    if word.quote_style.is_some() {
        return false;
    }
    let lower = word.value.to_ascii_lowercase();
    let upper = word.value.to_ascii_uppercase();
    if let [.., schema, Token::Period] = before {
        let built_in = matches!(schema, Token::Word(schema)
            if schema.value.eq_ignore_ascii_case("pg_catalog"));
        return built_in && SIDE_EFFECT_FREE.binary_search(&&*lower).is_ok();
    }
    let keyword = word.keyword != Keyword::NoKeyword && BEFORE_PARENTHESIS.contains(&&*upper);
    let is_alias = is_alias(before);
    keyword
        || is_alias
        || TYPES.contains(&&*lower)
        || SIDE_EFFECT_FREE.binary_search(&&*lower).is_ok()
}

/// Returns whether the word names a common table expression or a derived table with a column list:
/// `WITH name (a, b) AS` and `(…) AS name (a, b)`.
fn is_alias(before: &[Token]) -> bool {
    let Some(Token::Word(word)) = before.last() else {
        return before.last() == Some(&Token::RParen);
    };
    word.quote_style.is_none()
        && matches!(
            word.keyword,
            Keyword::WITH | Keyword::AS | Keyword::RECURSIVE
        )
}

#[cfg(test)]
mod tests;
