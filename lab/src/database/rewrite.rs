//! Rewrites a parsed PostgreSQL statement into the SQL dialect of SQLite.

use std::ops::ControlFlow;

use sqlparser::ast::{
    CastKind, ColumnOption, DataType, Expr, Ident, Query, SelectItem, SetExpr, Statement, Value,
    VisitMut, VisitorMut,
};

struct Rewriter;

impl VisitorMut for Rewriter {
    type Break = ();

    fn pre_visit_query(&mut self, query: &mut Query) -> ControlFlow<()> {
        query.locks.clear();
        ControlFlow::Continue(())
    }

    fn post_visit_expr(&mut self, expr: &mut Expr) -> ControlFlow<()> {
        match expr {
            Expr::Value(value) => {
                if let Value::Placeholder(name) = &mut value.value {
                    *name = name.replace('$', "?");
                }
            }
            Expr::Cast {
                kind,
                expr: inner,
                data_type,
                ..
            } => match cast_target(data_type) {
                Some(target) => {
                    *kind = CastKind::Cast;
                    *data_type = target;
                }
                None => *expr = Expr::Nested(inner.clone()),
            },
            _ => {}
        }
        ControlFlow::Continue(())
    }
}

/// Rewrites placeholders, casts, column types and result names, and removes locking clauses.
pub(crate) fn for_sqlite(statement: &mut Statement) {
    // `Rewriter` never returns `ControlFlow::Break`.
    let _ = statement.visit(&mut Rewriter);
    match statement {
        Statement::Query(query) => name_results(query),
        Statement::CreateTable(table) => {
            for column in &mut table.columns {
                rewrite_column(column);
            }
        }
        _ => {}
    }
}

fn rewrite_column(column: &mut sqlparser::ast::ColumnDef) {
    let declared = column.data_type.to_string().to_ascii_uppercase();
    let is_key = column
        .options
        .iter()
        .any(|option| matches!(option.option, ColumnOption::PrimaryKey(_)));
    column.data_type = match declared.as_str() {
        // SQLite generates row numbers only for a key column whose declared type is exactly
        // `INTEGER`.
        "SERIAL" | "BIGSERIAL" | "SERIAL4" | "SERIAL8" if is_key => DataType::Integer(None),
        "INTEGER" | "INT" => DataType::Int4(None),
        _ => column.data_type.clone(),
    };
    for option in &mut column.options {
        if let ColumnOption::Default(expr @ Expr::Function(_)) = &mut option.option {
            *expr = Expr::Nested(Box::new(expr.clone()));
        }
    }
}

fn cast_target(data_type: &DataType) -> Option<DataType> {
    let name = data_type.to_string().to_ascii_uppercase();
    let word = name.split(['(', ' ']).next().unwrap_or_default();
    match word {
        "INT" | "INT2" | "INT4" | "INT8" | "INTEGER" | "BIGINT" | "SMALLINT" => {
            Some(DataType::Integer(None))
        }
        "TEXT" | "VARCHAR" | "CHARACTER" | "CHAR" | "UUID" => Some(DataType::Text),
        "REAL" | "FLOAT" | "FLOAT4" | "FLOAT8" | "DOUBLE" => Some(DataType::Real),
        _ => None,
    }
}

/// Adds aliases to unnamed result expressions, so that they get the same names as in PostgreSQL.
fn name_results(query: &mut Query) {
    let SetExpr::Select(select) = query.body.as_mut() else {
        return;
    };
    for item in &mut select.projection {
        let SelectItem::UnnamedExpr(expr) = item else {
            continue;
        };
        if let Some(name) = result_name(expr) {
            let alias = Ident::with_quote('"', name);
            *item = SelectItem::ExprWithAlias {
                expr: expr.clone(),
                alias,
            };
        }
    }
}

fn result_name(expr: &Expr) -> Option<String> {
    match expr {
        Expr::Identifier(_) | Expr::CompoundIdentifier(_) => None,
        Expr::Function(function) => Some(function.name.to_string().to_lowercase()),
        Expr::Cast { expr, .. } => match expr.as_ref() {
            Expr::Identifier(name) => Some(name.value.clone()),
            inner => result_name(inner),
        },
        _ => Some("?column?".to_owned()),
    }
}
