//! Parses and validates declarations.

use {
    super::model::{Class, Declarations, Engine, Model, Route, Service, Workspace},
    crate::ini::{Document, Entry, Findings, Section},
    baobab_unit::id_of,
    std::collections::HashMap,
};

const DEFAULT_QUEUE_LIMIT: u32 = 200;
const MAX_WEIGHT: u32 = 1000;
const DIGEST_HEX_DIGITS: usize = 64;

/// Returns the hexadecimal digest under which a declarations file is stored.
#[must_use]
pub fn digest_of(text: &str) -> String {
    blake3::hash(text.as_bytes()).to_hex().to_string()
}

/// Parses and validates the text of a declarations file; `file` is its name in findings.
///
/// # Errors
///
/// Returns all errors of the file with their lines.
pub fn parse_declarations(file: &str, text: &str) -> Result<Declarations, Findings> {
    let mut findings = Findings::new(file);
    let mut document = Document::parse(text, &mut findings);
    let declarations = read_declarations(&mut document, &mut findings);
    document.finish(&mut findings);
    findings.into_result(declarations)
}

fn read_declarations(document: &mut Document, findings: &mut Findings) -> Declarations {
    let mut names = NameRegistry::default();
    let models = read_sections(document, "model", &mut names, findings, read_model);
    let classes = read_sections(document, "class", &mut names, findings, read_class);
    let services = read_sections(document, "service", &mut names, findings, read_service);
    let engines = read_sections(document, "engine", &mut names, findings, read_engine);
    let workspaces = read_sections(document, "workspace", &mut names, findings, read_workspace);
    let urgent_reserve_slots = document.take_optional("fleet").map_or(0, |mut section| {
        let slots = section.value("urgent_reserve_slots", 0, "a number", findings);
        section.finish(findings);
        slots
    });
    names.check_references(findings);
    Declarations {
        workspaces,
        classes,
        models,
        engines,
        services,
        urgent_reserve_slots,
    }
}

/// Declared and referenced names, checked after the whole file is read.
#[derive(Debug, Default)]
struct NameRegistry {
    declared: HashMap<u32, String>,
    references: Vec<Reference>,
}

#[derive(Debug)]
struct Reference {
    kind: &'static str,
    entry: Entry,
}

impl NameRegistry {
    fn add_declaration(&mut self, section: &Section, findings: &mut Findings) {
        let title = section.title().to_owned();
        if section.name().is_empty() {
            findings.add(
                section.line(),
                format!("[{title}] lacks a name after a dot"),
            );
        }
        if let Some(other) = self.declared.insert(id_of(&title), title.clone()) {
            findings.add(
                section.line(),
                format!("[{title}] and [{other}] have the same identifier; rename one"),
            );
        }
    }

    fn add_reference(&mut self, kind: &'static str, entry: Entry) {
        self.references.push(Reference { kind, entry });
    }

    fn check_references(&self, findings: &mut Findings) {
        for Reference { kind, entry } in &self.references {
            let title = format!("{kind}.{}", entry.value);
            if !self.declared.contains_key(&id_of(&title)) {
                findings.add(entry.line, format!("there is no [{title}]"));
            }
        }
    }
}

fn read_sections<T>(
    document: &mut Document,
    kind: &str,
    names: &mut NameRegistry,
    findings: &mut Findings,
    read: fn(&mut Section, &mut NameRegistry, &mut Findings) -> T,
) -> Vec<T> {
    let mut list = Vec::new();
    for mut section in document.take(kind) {
        names.add_declaration(&section, findings);
        list.push(read(&mut section, names, findings));
        section.finish(findings);
    }
    list
}

fn read_model(section: &mut Section, _names: &mut NameRegistry, _findings: &mut Findings) -> Model {
    Model {
        name: section.name().to_owned(),
    }
}

fn read_class(section: &mut Section, _names: &mut NameRegistry, findings: &mut Findings) -> Class {
    Class {
        name: section.name().to_owned(),
        rank: section.value("rank", 1, "a number up to 255", findings),
    }
}

fn read_service(
    section: &mut Section,
    _names: &mut NameRegistry,
    findings: &mut Findings,
) -> Service {
    let addresses: Vec<_> = section
        .names("addresses")
        .into_iter()
        .filter_map(|entry| {
            let parsed = entry.value.parse().ok();
            if parsed.is_none() {
                findings.add(entry.line, format!("'{}' is not an address", entry.value));
            }
            parsed
        })
        .collect();
    if addresses.is_empty() {
        findings.add(
            section.line(),
            format!("[{}] lacks 'addresses'", section.title()),
        );
    }
    Service {
        name: section.name().to_owned(),
        addresses,
        non_idempotent: section
            .names("non_idempotent")
            .into_iter()
            .map(|entry| Route { path: entry.value })
            .collect(),
    }
}

fn read_engine(section: &mut Section, names: &mut NameRegistry, findings: &mut Findings) -> Engine {
    let model = section.names("model");
    if model.len() != 1 {
        findings.add(
            section.line(),
            format!("[{}] needs one 'model'", section.title()),
        );
    }
    let engine = Engine {
        name: section.name().to_owned(),
        model: model
            .first()
            .map(|entry| entry.value.clone())
            .unwrap_or_default(),
        domain: section.text("domain", findings),
        address: section.address("address", findings),
        slots: section.value("slots", 8, "a number of streams", findings),
        version: section.take("version").map(|entry| entry.value),
        checks_fencing: section.flag("checks_fencing", false, findings),
    };
    for entry in model {
        names.add_reference("model", entry);
    }
    if engine.slots == 0 {
        findings.add(
            section.line(),
            format!("[{}] has no slots", section.title()),
        );
    }
    engine
}

fn read_workspace(
    section: &mut Section,
    names: &mut NameRegistry,
    findings: &mut Findings,
) -> Workspace {
    let line = section.line();
    let key_digests = read_digests(section, findings);
    let models = section.names("models");
    let services = section.names("services");
    let workspace = Workspace {
        name: section.name().to_owned(),
        weight: section.value("weight", 1, "a number from 1 to 1000", findings),
        key_digests,
        models: models.iter().map(|entry| entry.value.clone()).collect(),
        services: services.iter().map(|entry| entry.value.clone()).collect(),
        queue_limit: section.value("queue_limit", DEFAULT_QUEUE_LIMIT, "a number", findings),
    };
    for entry in models {
        names.add_reference("model", entry);
    }
    for entry in services {
        names.add_reference("service", entry);
    }
    if !(1..=MAX_WEIGHT).contains(&workspace.weight) {
        findings.add(
            line,
            format!("the weight of '{}' is not 1 to 1000", workspace.name),
        );
    }
    workspace
}

fn read_digests(section: &mut Section, findings: &mut Findings) -> Vec<String> {
    let entries = section.names("key_digests");
    for entry in &entries {
        let hexadecimal = entry.value.bytes().all(|byte| byte.is_ascii_hexdigit());
        if entry.value.len() != DIGEST_HEX_DIGITS || !hexadecimal {
            findings.add(
                entry.line,
                format!("'{}' is not a BLAKE3 digest in hexadecimal", entry.value),
            );
        }
    }
    entries.into_iter().map(|entry| entry.value).collect()
}
