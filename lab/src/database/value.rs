//! PostgreSQL types, and the conversion of SQLite values to and from their text and binary formats.

use std::fmt::Write;

use bytes::{BufMut, BytesMut};
use rusqlite::types::Value;

use super::error::{Result, SqlError};

/// Object identifier of a PostgreSQL type.
pub(crate) type Oid = u32;

pub(crate) const BOOL: Oid = 16;
pub(crate) const BYTEA: Oid = 17;
pub(crate) const INT8: Oid = 20;
pub(crate) const INT2: Oid = 21;
pub(crate) const INT4: Oid = 23;
pub(crate) const TEXT: Oid = 25;
pub(crate) const FLOAT4: Oid = 700;
pub(crate) const FLOAT8: Oid = 701;
pub(crate) const VOID: Oid = 2278;

/// Returns the PostgreSQL type of a column, given its declared type.
///
/// `INTEGER` maps to `int8`: only serial keys are declared that way, because SQLite generates row
/// numbers only for such columns. Other `INTEGER` columns are rewritten to `INT4`.
pub(crate) fn oid_of_declaration(declared: &str) -> Oid {
    let upper = declared.to_ascii_uppercase();
    let word = upper.split(['(', ' ']).next().unwrap_or_default();
    match word {
        "BOOL" | "BOOLEAN" => BOOL,
        "BYTEA" | "BLOB" => BYTEA,
        "SMALLINT" | "INT2" => INT2,
        "INT" | "INT4" | "SERIAL" => INT4,
        "BIGINT" | "INT8" | "BIGSERIAL" | "INTEGER" => INT8,
        "REAL" | "FLOAT4" => FLOAT4,
        "FLOAT" | "FLOAT8" | "DOUBLE" => FLOAT8,
        _ => TEXT,
    }
}

/// Returns the target type of a cast.
pub(crate) fn oid_of_cast(name: &str) -> Oid {
    if name.eq_ignore_ascii_case("INTEGER") {
        return INT4;
    }
    oid_of_declaration(name)
}

/// Returns the PostgreSQL type for an SQLite value.
pub(crate) fn oid_of_value(value: &Value) -> Oid {
    match value {
        Value::Integer(_) => INT8,
        Value::Real(_) => FLOAT8,
        Value::Blob(_) => BYTEA,
        Value::Text(_) | Value::Null => TEXT,
    }
}

/// Returns the size of a type's binary values in bytes, or -1 when it varies.
pub(crate) fn type_size(oid: Oid) -> i16 {
    match oid {
        BOOL => 1,
        INT2 => 2,
        INT4 | FLOAT4 => 4,
        INT8 | FLOAT8 => 8,
        _ => -1,
    }
}

/// Decodes a parameter.
///
/// # Errors
///
/// Fails when the bytes are not a valid value of the type.
pub(crate) fn decode(oid: Oid, binary: bool, bytes: &[u8]) -> Result<Value> {
    let value = if binary {
        decode_binary(oid, bytes)
    } else {
        std::str::from_utf8(bytes)
            .ok()
            .and_then(|text| decode_text(oid, text))
    };
    value.ok_or_else(|| {
        SqlError::new(
            "22P02",
            format!("invalid value for a parameter of type {oid}"),
        )
    })
}

fn decode_binary(oid: Oid, bytes: &[u8]) -> Option<Value> {
    let value = match oid {
        BOOL => Value::Integer(i64::from(*bytes.first()? != 0)),
        INT2 => Value::Integer(i16::from_be_bytes(bytes.try_into().ok()?).into()),
        INT4 => Value::Integer(i32::from_be_bytes(bytes.try_into().ok()?).into()),
        INT8 => Value::Integer(i64::from_be_bytes(bytes.try_into().ok()?)),
        FLOAT4 => Value::Real(f32::from_be_bytes(bytes.try_into().ok()?).into()),
        FLOAT8 => Value::Real(f64::from_be_bytes(bytes.try_into().ok()?)),
        BYTEA => Value::Blob(bytes.to_vec()),
        _ => Value::Text(String::from_utf8(bytes.to_vec()).ok()?),
    };
    Some(value)
}

/// Decodes a value from its text format. `None` when the text is not a valid value of the type.
pub(crate) fn decode_text(oid: Oid, text: &str) -> Option<Value> {
    let value = match oid {
        BOOL => match text.to_ascii_lowercase().as_str() {
            "t" | "true" | "1" | "on" | "yes" => Value::Integer(1),
            "f" | "false" | "0" | "off" | "no" => Value::Integer(0),
            _ => return None,
        },
        INT2 | INT4 | INT8 => Value::Integer(text.trim().parse().ok()?),
        FLOAT4 | FLOAT8 => Value::Real(text.trim().parse().ok()?),
        BYTEA => Value::Blob(decode_hex(text.strip_prefix("\\x")?)?),
        _ => Value::Text(text.to_owned()),
    };
    Some(value)
}

fn decode_hex(text: &str) -> Option<Vec<u8>> {
    let digits = text.as_bytes().chunks(2);
    digits
        .map(|pair| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok())
        .collect()
}

/// Appends a value of a `DataRow`, preceded by its length.
pub(crate) fn encode(out: &mut BytesMut, oid: Oid, binary: bool, value: &Value) {
    if matches!(value, Value::Null) {
        out.put_i32(-1);
        return;
    }
    if binary && encode_binary(out, oid, value) {
        return;
    }
    let text = text_of(oid, value);
    out.put_i32(text.len() as i32);
    out.put_slice(text.as_bytes());
}

fn encode_binary(out: &mut BytesMut, oid: Oid, value: &Value) -> bool {
    match (oid, value) {
        (BOOL, Value::Integer(number)) => {
            out.put_i32(1);
            out.put_u8(u8::from(*number != 0));
        }
        (INT2, Value::Integer(number)) => {
            out.put_i32(2);
            out.put_i16(*number as i16);
        }
        (INT4, Value::Integer(number)) => {
            out.put_i32(4);
            out.put_i32(*number as i32);
        }
        (INT8, Value::Integer(number)) => {
            out.put_i32(8);
            out.put_i64(*number);
        }
        (FLOAT4 | FLOAT8, Value::Integer(_) | Value::Real(_)) => encode_float(out, oid, value),
        (BYTEA, Value::Blob(bytes)) => {
            out.put_i32(bytes.len() as i32);
            out.put_slice(bytes);
        }
        _ => return false,
    }
    true
}

fn encode_float(out: &mut BytesMut, oid: Oid, value: &Value) {
    let number = match value {
        Value::Integer(number) => *number as f64,
        Value::Real(number) => *number,
        _ => f64::NAN,
    };
    if oid == FLOAT4 {
        out.put_i32(4);
        out.put_f32(number as f32);
    } else {
        out.put_i32(8);
        out.put_f64(number);
    }
}

/// Returns a value in text format.
pub(crate) fn text_of(oid: Oid, value: &Value) -> String {
    match (oid, value) {
        (BOOL, Value::Integer(number)) => (if *number == 0 { "f" } else { "t" }).to_owned(),
        (_, Value::Integer(number)) => number.to_string(),
        (_, Value::Real(number)) => number.to_string(),
        (_, Value::Text(text)) => text.clone(),
        (_, Value::Null) => String::new(),
        (_, Value::Blob(bytes)) => {
            let mut text = "\\x".to_owned();
            for byte in bytes {
                // Writing to a `String` never fails.
                let _ = write!(text, "{byte:02x}");
            }
            text
        }
    }
}

#[cfg(test)]
mod tests;
