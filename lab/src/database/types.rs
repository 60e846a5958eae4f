//! Inference of the types of a statement's parameters and results, from its text and the tables.

use std::ops::ControlFlow;

use rusqlite::Connection;
use sqlparser::ast::{
    AssignmentTarget, BinaryOperator, Expr, Function, InTarget, Insert, SelectItem, SetExpr,
    Statement, Value, visit_expressions, visit_relations,
};

use super::value::{self, Oid};

/// Columns of the tables that a statement refers to.
#[derive(Debug, Default)]
pub(crate) struct Columns {
    columns: Vec<(String, Oid)>,
}

impl Columns {
    /// Reads the columns of all tables that the statement refers to.
    pub(crate) fn of(statement: &Statement, connection: &Connection) -> Self {
        let mut columns = Vec::new();
        let _ = visit_relations(statement, |name| {
            columns.extend(table_columns(connection, &name.to_string()));
            ControlFlow::<()>::Continue(())
        });
        Self { columns }
    }

    fn oid(&self, name: &str) -> Option<Oid> {
        let matches = |(column, _): &&(String, Oid)| column.eq_ignore_ascii_case(name);
        self.columns.iter().find(matches).map(|(_, oid)| *oid)
    }
}

/// Returns the columns of a table with their types. Empty when the table does not exist.
pub(crate) fn table_columns(connection: &Connection, table: &str) -> Vec<(String, Oid)> {
    let read = || -> rusqlite::Result<Vec<(String, Oid)>> {
        let mut statement =
            connection.prepare_cached("SELECT name, type FROM pragma_table_info(?1)")?;
        let rows = statement.query_map([table.trim_matches('"')], |row| {
            Ok((
                row.get(0)?,
                value::oid_of_declaration(&row.get::<_, String>(1)?),
            ))
        })?;
        rows.collect()
    };
    read().unwrap_or_default()
}

/// Infers the types of the parameters. `client_types` holds the types specified by the client, 0
/// where it specified none.
///
/// A type that can't be inferred is `text`. Placeholders may be written `$1` or, after the rewrite
/// for SQLite, `?1`.
pub(crate) fn parameters(
    statement: &Statement,
    columns: &Columns,
    client_types: &[Oid],
) -> Vec<Oid> {
    let mut oids = client_types.to_vec();
    let mut infer = |expr: &Expr, oid: Option<Oid>| {
        let Some(index) = placeholder(expr) else {
            return;
        };
        if oids.len() <= index {
            oids.resize(index + 1, 0);
        }
        if oids[index] == 0 {
            oids[index] = oid.unwrap_or(0);
        }
    };
    match statement {
        Statement::Insert(insert) => infer_from_insert(insert, columns, &mut infer),
        Statement::Update(update) => {
            for assignment in &update.assignments {
                if let AssignmentTarget::ColumnName(name) = &assignment.target {
                    infer(&assignment.value, columns.oid(&name.to_string()));
                }
            }
        }
        _ => {}
    }
    let _ = visit_expressions(statement, |expr| {
        infer_from_expression(expr, columns, &mut infer);
        ControlFlow::<()>::Continue(())
    });
    for oid in &mut oids {
        if *oid == 0 {
            *oid = value::TEXT;
        }
    }
    oids
}

fn infer_from_insert(
    insert: &Insert,
    columns: &Columns,
    infer: &mut impl FnMut(&Expr, Option<Oid>),
) {
    let Some(source) = &insert.source else { return };
    let SetExpr::Values(values) = source.body.as_ref() else {
        return;
    };
    for row in &values.rows {
        for (index, expr) in row.content.iter().enumerate() {
            let oid = match insert.columns.get(index) {
                Some(name) => columns.oid(&name.to_string()),
                None => columns.columns.get(index).map(|(_, oid)| *oid),
            };
            infer(expr, oid);
        }
    }
}

fn infer_from_expression(
    expr: &Expr,
    columns: &Columns,
    infer: &mut impl FnMut(&Expr, Option<Oid>),
) {
    match expr {
        Expr::BinaryOp { left, right, .. } => {
            infer(left, expression_type(right, columns, &[]));
            infer(right, expression_type(left, columns, &[]));
        }
        Expr::Between {
            expr, low, high, ..
        } => {
            let oid = expression_type(expr, columns, &[]);
            infer(low, oid);
            infer(high, oid);
        }
        Expr::In {
            expr,
            target: InTarget::List(list),
            ..
        } => {
            for item in list {
                infer(item, expression_type(expr, columns, &[]));
            }
        }
        Expr::Cast {
            expr, data_type, ..
        } => {
            infer(expr, Some(value::oid_of_cast(&data_type.to_string())));
        }
        Expr::Value(_) => infer(expr, None),
        _ => {}
    }
}

fn placeholder(expr: &Expr) -> Option<usize> {
    let Expr::Value(value) = expr else {
        return None;
    };
    let Value::Placeholder(name) = &value.value else {
        return None;
    };
    let number: usize = name.trim_start_matches(['?', '$']).parse().ok()?;
    number.checked_sub(1)
}

/// Infers the types of the results. `None` for a result whose type can't be inferred from the text.
pub(crate) fn results(
    statement: &Statement,
    columns: &Columns,
    parameters: &[Oid],
) -> Vec<Option<Oid>> {
    let items: &[SelectItem] = match statement {
        Statement::Query(query) => match query.body.as_ref() {
            SetExpr::Select(select) => &select.projection,
            _ => return Vec::new(),
        },
        Statement::Insert(insert) => insert.returning.as_deref().unwrap_or_default(),
        Statement::Update(update) => update.returning.as_deref().unwrap_or_default(),
        Statement::Delete(delete) => delete.returning.as_deref().unwrap_or_default(),
        _ => return Vec::new(),
    };
    let mut oids = Vec::new();
    for item in items {
        match item {
            SelectItem::UnnamedExpr(expr) | SelectItem::ExprWithAlias { expr, .. } => {
                oids.push(expression_type(expr, columns, parameters));
            }
            // The number of columns of a wildcard is not known here, so the results after it can't
            // be matched. Table columns get their types from their declarations.
            _ => return oids,
        }
    }
    oids
}

fn expression_type(expr: &Expr, columns: &Columns, parameters: &[Oid]) -> Option<Oid> {
    match expr {
        Expr::Identifier(name) => columns.oid(&name.value),
        Expr::CompoundIdentifier(parts) => columns.oid(&parts.last()?.value),
        Expr::Nested(inner) | Expr::UnaryOp { expr: inner, .. } => {
            expression_type(inner, columns, parameters)
        }
        Expr::Cast { data_type, .. } => Some(value::oid_of_cast(&data_type.to_string())),
        Expr::Function(function) => function_type(function),
        Expr::Exists { .. }
        | Expr::IsNull(_)
        | Expr::IsNotNull(_)
        | Expr::In { .. }
        | Expr::Between { .. } => Some(value::BOOL),
        Expr::BinaryOp { left, op, right } => match op {
            BinaryOperator::Plus
            | BinaryOperator::Minus
            | BinaryOperator::Multiply
            | BinaryOperator::Divide => expression_type(left, columns, parameters)
                .or_else(|| expression_type(right, columns, parameters)),
            BinaryOperator::StringConcat => Some(value::TEXT),
            _ => Some(value::BOOL),
        },
        Expr::Value(value) => match &value.value {
            Value::Number(text, _) if text.contains('.') => Some(value::FLOAT8),
            Value::Number(text, _) if text.parse::<i32>().is_ok() => Some(value::INT4),
            Value::Number(..) => Some(value::INT8),
            Value::SingleQuotedString(_) => Some(value::TEXT),
            Value::Boolean(_) => Some(value::BOOL),
            Value::Placeholder(_) => parameters.get(placeholder(expr)?).copied(),
            _ => None,
        },
        _ => None,
    }
}

fn function_type(function: &Function) -> Option<Oid> {
    match function.name.to_string().to_lowercase().as_str() {
        "count" | "sum" => Some(value::INT8),
        "length" | "pg_backend_pid" => Some(value::INT4),
        "pg_is_in_recovery" => Some(value::BOOL),
        "avg" => Some(value::FLOAT8),
        "version" | "current_database" | "current_setting" | "now" | "repeat" | "upper"
        | "lower" | "group_concat" | "string_agg" => Some(value::TEXT),
        _ => None,
    }
}
