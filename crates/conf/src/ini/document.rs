//! A parsed INI file that remembers its lines.

use {
    super::{Findings, Section},
    ini_core::{Item, Parser},
};

/// One `key = value` line.
#[derive(Debug, Clone)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value without a trailing comment.
    pub value: String,
    /// Line, counted from one.
    pub line: u32,
}

/// The sections of a file in their order.
#[derive(Debug)]
pub struct Document {
    sections: Vec<Section>,
}

impl Document {
    /// Parses a file's text. Malformed lines and duplicates become findings.
    #[must_use]
    pub fn parse(text: &str, findings: &mut Findings) -> Self {
        let mut document = Self {
            sections: Vec::new(),
        };
        let mut parser = Parser::new(text).auto_trim(true).comment_char(b'#');
        loop {
            let line = parser.line() + 1;
            let Some(item) = parser.next() else {
                return document;
            };
            document.add(item, line, findings);
        }
    }

    /// Takes the sections out whose name is `kind` or starts with `kind.`.
    #[must_use]
    pub fn take(&mut self, kind: &str) -> Vec<Section> {
        self.sections
            .extract_if(.., |section| section.kind() == kind)
            .collect()
    }

    /// Takes the only section of a kind; a missing one is a finding.
    #[must_use]
    pub fn take_one(&mut self, kind: &str, findings: &mut Findings) -> Section {
        self.take_optional(kind).unwrap_or_else(|| {
            findings.add(1, format!("section [{kind}] is missing"));
            Section::new(kind, 1)
        })
    }

    /// Takes the only section of a kind, where there is one.
    #[must_use]
    pub fn take_optional(&mut self, kind: &str) -> Option<Section> {
        self.take(kind).into_iter().next()
    }

    /// Reports the sections that nobody took.
    pub fn finish(self, findings: &mut Findings) {
        for section in self.sections {
            findings.add(
                section.line(),
                format!("unknown section [{}]", section.title()),
            );
        }
    }

    fn add(&mut self, item: Item<'_>, line: u32, findings: &mut Findings) {
        match item {
            Item::Section(title) => self.open_section(title, line, findings),
            Item::Property(key, Some(value)) => self.add_entry(key, value, line, findings),
            Item::Property(key, None) => {
                findings.add(line, format!("'{key}' has no value; write 'key = value'"));
            }
            Item::Error(text) => {
                findings.add(line, format!("'{text}' is not a section header"));
            }
            Item::SectionEnd | Item::Comment(_) | Item::Blank => {}
        }
    }

    fn open_section(&mut self, title: &str, line: u32, findings: &mut Findings) {
        let earlier = self
            .sections
            .iter()
            .find(|section| section.title() == title);
        if let Some(earlier) = earlier {
            let first = earlier.line();
            findings.add(
                line,
                format!("section [{title}] stands already on line {first}"),
            );
        }
        self.sections.push(Section::new(title, line));
    }

    fn add_entry(&mut self, key: &str, value: &str, line: u32, findings: &mut Findings) {
        let Some(section) = self.sections.last_mut() else {
            findings.add(line, format!("'{key}' stands before any section"));
            return;
        };
        let value = value.split(" #").next().unwrap_or_default().trim();
        section.add(
            Entry {
                key: key.to_owned(),
                value: value.to_owned(),
                line,
            },
            findings,
        );
    }
}
