//! Validation rules for settings, beyond the types of the values.

use std::collections::BTreeSet;

use super::Settings;

/// Minimum length of a peer secret or operator token, in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// Violation of a rule by the settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Problem {
    /// Name of the field, with its section.
    pub(crate) field: &'static str,
    /// What is wrong.
    pub(crate) message: String,
    /// What to do about it.
    pub(crate) remedy: String,
}

/// Returns every rule violation of the settings.
pub(crate) fn problems(settings: &Settings) -> Vec<Problem> {
    let mut found = Vec::new();
    names(settings, &mut found);
    certificates(settings, &mut found);
    secrets(settings, &mut found);
    platform(settings, &mut found);
    intervals(settings, &mut found);
    found
}

fn push(found: &mut Vec<Problem>, field: &'static str, message: &str, remedy: &str) {
    found.push(Problem {
        field,
        message: message.to_owned(),
        remedy: remedy.to_owned(),
    });
}

fn names(settings: &Settings, found: &mut Vec<Problem>) {
    let vm = &settings.vm;
    let names = [
        ("vm.name", vm.name.as_str()),
        ("vm.availability_zone", vm.availability_zone.as_str()),
        ("vm.region", vm.region.as_str()),
        ("vm.cell", vm.cell.as_str()),
    ];
    for (field, name) in names {
        let plain = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '.' || c == '_';
        if name.is_empty() || !name.chars().all(plain) {
            push(
                found,
                field,
                "the name is empty or has characters that are not allowed",
                "use a-z 0-9 - . _",
            );
        }
    }
}

fn certificates(settings: &Settings, found: &mut Vec<Problem>) {
    let callers = &settings.callers;
    if callers.tls_certificate_file.is_some() != callers.tls_key_file.is_some() {
        let problem = "only one of certificate and key is given";
        push(
            found,
            "callers.tls_key_file",
            problem,
            "give both or neither",
        );
    }
    let administration = &settings.administration;
    if administration.tls_certificate_file.is_some() != administration.tls_key_file.is_some() {
        let problem = "only one of certificate and key is given";
        push(
            found,
            "administration.tls_key_file",
            problem,
            "give both or neither",
        );
    }
}

fn secrets(settings: &Settings, found: &mut Vec<Problem>) {
    let secrets = &settings.peers.secrets;
    if secrets.is_empty() {
        let problem = "no secret is given";
        push(
            found,
            "peers.secrets",
            problem,
            "add one secret that all VMs share",
        );
    }
    if secrets.iter().any(|secret| secret.len() < MIN_SECRET_BYTES) {
        let remedy = format!("use at least {MIN_SECRET_BYTES} random bytes");
        push(found, "peers.secrets", "a secret is too short", &remedy);
    }
    let tokens = &settings.administration.tokens;
    if tokens
        .iter()
        .any(|token| token.token.len() < MIN_SECRET_BYTES)
    {
        let remedy = format!("use at least {MIN_SECRET_BYTES} random bytes");
        push(
            found,
            "administration.tokens",
            "a token is too short",
            &remedy,
        );
    }
    let distinct: BTreeSet<_> = tokens.iter().map(|token| &token.token).collect();
    if distinct.len() < tokens.len() {
        let remedy = "give each operator a token of its own";
        push(
            found,
            "administration.tokens",
            "two operators have the same token",
            remedy,
        );
    }
}

fn platform(settings: &Settings, found: &mut Vec<Problem>) {
    let platform = &settings.platform;
    if platform.endpoints.is_empty() {
        let remedy = "add the service's address, such as http://10.0.0.5:2379";
        push(found, "platform.endpoints", "no endpoint is given", remedy);
    }
    let is_http = |url: &String| url.starts_with("http://") || url.starts_with("https://");
    if !platform.endpoints.iter().all(is_http) {
        push(
            found,
            "platform.endpoints",
            "an endpoint is not an HTTP URL",
            "start it with http:// or https://",
        );
    }
    if !platform.prefix.ends_with('/') || platform.vm_list_prefix.starts_with(&platform.prefix) {
        let remedy = "end the prefix with / and keep the list of VMs outside it";
        push(
            found,
            "platform.prefix",
            "the prefix does not separate the fleet's keys from others",
            remedy,
        );
    }
}

fn intervals(settings: &Settings, found: &mut Vec<Problem>) {
    let control = &settings.control;
    if control.tick_ms == 0 || control.tick_ms > control.suspect_probe_interval_ms {
        let remedy = "use 1..=suspect_probe_interval_ms";
        push(
            found,
            "control.tick_ms",
            "the interval is out of range",
            remedy,
        );
    }
    if control.heartbeat_ms * 3 > control.lease_ms {
        let remedy = "make lease_ms at least three heartbeats, so that two may be lost";
        push(
            found,
            "control.lease_ms",
            "one lost heartbeat would end a lease",
            remedy,
        );
    }
    if control.suspect_after_ms > control.fail_after_ms {
        let remedy = "make fail_after_ms at least suspect_after_ms";
        push(
            found,
            "control.fail_after_ms",
            "an instance would count as failed before it is suspected",
            remedy,
        );
    }
    if control.isolation_limit_ms <= control.lease_ms + control.lease_margin_ms {
        let remedy = "make it longer than lease_ms + lease_margin_ms";
        push(
            found,
            "control.isolation_limit_ms",
            "an expired lease would isolate the VM",
            remedy,
        );
    }
}
