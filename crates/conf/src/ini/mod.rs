//! Reading of INI files into typed values, with findings.

mod document;
mod findings;
mod section;

pub use {
    document::{Document, Entry},
    findings::{Finding, Findings},
    section::Section,
};
