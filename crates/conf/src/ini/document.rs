//! Parsed INI file with line numbers.

use {
    super::{Findings, Section},
    ini_core::{Item, Parser},
};

/// One `key = value` line.
#[derive(Debug, Clone)]
pub struct Entry {
    /// Key without surrounding whitespace.
    pub key: String,
    /// Value without surrounding whitespace and trailing comment.
    pub value: String,
    /// Line number, from one.
    pub line: u32,
}

/// The sections of a file that were not yet taken, in file order.
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

    /// Removes and returns the sections titled `kind` or `kind.NAME`.
    #[must_use]
    pub fn take(&mut self, kind: &str) -> Vec<Section> {
        self.sections
            .extract_if(.., |section| section.kind() == kind)
            .collect()
    }

    /// Removes and returns the section of a kind; adds a finding if it is missing.
    #[must_use]
    pub fn take_required(&mut self, kind: &str, findings: &mut Findings) -> Section {
        self.take_optional(kind).unwrap_or_else(|| {
            findings.add(1, format!("section [{kind}] is missing"));
            Section::new(kind, 1)
        })
    }

    /// Removes and returns the section of a kind, if present.
    #[must_use]
    pub fn take_optional(&mut self, kind: &str) -> Option<Section> {
        self.take(kind).into_iter().next()
    }

    /// Adds a finding for each section that was not taken.
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
