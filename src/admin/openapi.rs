//! OpenAPI description of the API, generated from the table of its operations.

use axum::Json;
use serde_json::{Map, Value, json};

/// Operation of the API, as listed in [`OPERATIONS`].
struct Operation {
    path: &'static str,
    method: &'static str,
    summary: &'static str,
    is_write: bool,
}

const fn read(path: &'static str, summary: &'static str) -> Operation {
    Operation {
        path,
        method: "get",
        summary,
        is_write: false,
    }
}

const fn write(path: &'static str, method: &'static str, summary: &'static str) -> Operation {
    Operation {
        path,
        method,
        summary,
        is_write: true,
    }
}

/// Every operation that requires a token.
const OPERATIONS: &[Operation] = &[
    read(
        "/v1/status",
        "State of the fleet as the answering VM sees it",
    ),
    read(
        "/v1/vms",
        "VMs with the databases that they are the home of",
    ),
    read("/v1/workspaces", "All workspaces"),
    read(
        "/v1/workspaces/{name}",
        "One workspace, with the revision that a write must expect",
    ),
    write(
        "/v1/workspaces/{name}",
        "put",
        "Creates a workspace, or sets its databases and limits",
    ),
    write("/v1/workspaces/{name}", "delete", "Removes a workspace"),
    read(
        "/v1/workspaces/{name}/keys",
        "Keys of a workspace, without their secrets",
    ),
    write(
        "/v1/workspaces/{name}/keys",
        "post",
        "Issues a key; its secret is shown once",
    ),
    write(
        "/v1/workspaces/{name}/keys/{key}/withdraw",
        "post",
        "Withdraws a key",
    ),
    read("/v1/presets", "All presets"),
    read(
        "/v1/presets/{name}",
        "One preset, with the revision that a write must expect",
    ),
    write("/v1/presets/{name}", "put", "Creates or replaces a preset"),
    write("/v1/presets/{name}", "delete", "Removes a preset"),
    Operation {
        path: "/v1/presets/{name}/validate",
        method: "post",
        summary: "Findings that writing the preset would meet, all at once",
        is_write: false,
    },
    read(
        "/v1/presets/{name}/diff/{other}",
        "Fields in which two presets differ",
    ),
    write(
        "/v1/presets/{name}/switch",
        "post",
        "Puts a preset in force",
    ),
    read(
        "/v1/in-force",
        "The preset in force, with the revision that a switch must expect",
    ),
    read("/v1/routes", "All routes"),
    read(
        "/v1/routes/{name}",
        "One route, with the revision that a write must expect",
    ),
    write(
        "/v1/routes/{name}",
        "put",
        "Creates a route, or sets its policy",
    ),
    write("/v1/routes/{name}", "delete", "Removes a route"),
    read("/v1/databases", "State of every database"),
    read(
        "/v1/databases/{name}",
        "One database, with the revision that a write must expect",
    ),
    write(
        "/v1/databases/{name}",
        "put",
        "Creates or replaces a database group",
    ),
    write("/v1/databases/{name}", "delete", "Removes a database group"),
    write(
        "/v1/databases/{name}/instances/{instance}/drain",
        "post",
        "Gives an instance no new work; its running transactions end",
    ),
    write(
        "/v1/databases/{name}/instances/{instance}/undrain",
        "post",
        "Gives an instance new work again",
    ),
];

pub(super) async fn describe() -> Json<Value> {
    Json(description())
}

fn description() -> Value {
    let mut paths = Map::new();
    for operation in OPERATIONS {
        let entry = paths.entry(operation.path).or_insert_with(|| json!({}));
        entry[operation.method] = describe_operation(operation);
    }
    json!({
        "openapi": "3.1.0",
        "info": { "title": "currantlb administration", "version": env!("CARGO_PKG_VERSION") },
        "security": [{ "bearer": [] }],
        "paths": paths,
        "components": {
            "securitySchemes": { "bearer": { "type": "http", "scheme": "bearer" } },
            "schemas": { "Error": error_schema() },
        },
    })
}

fn describe_operation(operation: &Operation) -> Value {
    let mut parameters: Vec<_> = path_parameter_names(operation.path)
        .map(path_parameter)
        .collect();
    let mut responses = json!({
        "200": { "description": "Done" },
        "401": error("The token is not known"),
        "404": error("The record does not exist"),
    });
    if operation.is_write {
        let operation_id = "Id of the write; send the same one again to learn a lost answer";
        let if_match = "Revision that the record must have; 0 when it must not exist";
        parameters.push(header_parameter("Operation-Id", operation_id));
        parameters.push(header_parameter("If-Match", if_match));
        responses["403"] = error("The operator may only read");
        responses["409"] = error("The record has another revision");
        responses["422"] = error("The change would break the configuration; see the findings");
        responses["503"] = error("The platform's service gave no answer; nothing was written");
        responses["504"] = error("The outcome is not known; send the write again with the same id");
    }
    json!({
        "summary": operation.summary,
        "parameters": parameters,
        "responses": responses,
    })
}

fn path_parameter_names(path: &'static str) -> impl Iterator<Item = &'static str> {
    path.split('/')
        .filter_map(|part| part.strip_prefix('{')?.strip_suffix('}'))
}

fn path_parameter(name: &str) -> Value {
    json!({ "name": name, "in": "path", "required": true, "schema": { "type": "string" } })
}

fn header_parameter(name: &str, description: &str) -> Value {
    json!({
        "name": name,
        "in": "header",
        "required": true,
        "description": description,
        "schema": { "type": "string" },
    })
}

fn error(description: &str) -> Value {
    let schema = json!({ "$ref": "#/components/schemas/Error" });
    json!({ "description": description, "content": { "application/json": { "schema": schema } } })
}

fn error_schema() -> Value {
    json!({
        "type": "object",
        "required": ["error"],
        "properties": {
            "error": { "type": "string" },
            "revision": { "type": "integer" },
            "findings": { "type": "array", "items": { "type": "object" } },
        },
    })
}

#[cfg(test)]
mod tests;
