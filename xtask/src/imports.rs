//! Checks the imports that the stable formatter leaves as they are.
//!
//! The formatter sorts imports that no blank line separates. This check covers the rest: one import a line, and the
//! groups, so that each is one block that the formatter sorts.

use std::io;
use std::path::Path;

use proc_macro2::LineColumn;
use syn::Block;
use syn::File;
use syn::Item;
use syn::ItemMod;
use syn::ItemUse;
use syn::Stmt;
use syn::UseTree;
use syn::spanned::Spanned;
use syn::visit::Visit;

use crate::SourceFault;
use crate::source_files::source_files;

/// Directories of the workspace's members.
const MEMBERS: [&str; 3] = ["crates", "platform", "xtask"];

/// Group of an import, in the order in which groups stand.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Group {
    Std,
    External,
    Crate,
}

impl Group {
    fn of(import: &ItemUse) -> Self {
        match first_segment(&import.tree).as_deref() {
            Some("std" | "core" | "alloc") => Self::Std,
            Some("crate" | "self" | "super") => Self::Crate,
            _ => Self::External,
        }
    }

    const fn name(self) -> &'static str {
        match self {
            Self::Std => "the standard library",
            Self::External => "external crates",
            Self::Crate => "this crate",
        }
    }
}

fn first_segment(tree: &UseTree) -> Option<String> {
    match tree {
        UseTree::Path(path) => Some(path.ident.to_string()),
        UseTree::Name(name) => Some(name.ident.to_string()),
        UseTree::Rename(rename) => Some(rename.ident.to_string()),
        UseTree::Glob(_) | UseTree::Group(_) => None,
    }
}

/// Returns `true` if a tree lists several imports in braces.
fn is_grouped(tree: &UseTree) -> bool {
    match tree {
        UseTree::Path(path) => is_grouped(&path.tree),
        UseTree::Group(_) => true,
        UseTree::Name(_) | UseTree::Rename(_) | UseTree::Glob(_) => false,
    }
}

/// Collects the faults of one file.
struct ImportCheck<'a> {
    file: &'a str,
    lines: Vec<&'a str>,
    faults: Vec<SourceFault>,
}

impl ImportCheck<'_> {
    fn add(&mut self, at: LineColumn, reason: String) {
        self.faults.push(SourceFault {
            file: self.file.to_owned(),
            line: at.line,
            reason,
        });
    }

    /// Checks the imports among items, each run of which has its own groups.
    fn check_items<'i>(&mut self, items: impl Iterator<Item = Option<&'i ItemUse>>) {
        let mut last: Option<&ItemUse> = None;
        for import in items {
            if let Some(import) = import {
                self.check_import(import);
                if let Some(last) = last {
                    self.check_order(last, import);
                }
            }
            last = import;
        }
    }

    fn check_import(&mut self, import: &ItemUse) {
        if is_grouped(&import.tree) {
            let reason = "an import in braces: write one import a line".to_owned();
            self.add(import.span().start(), reason);
        }
    }

    fn check_order(&mut self, last: &ItemUse, import: &ItemUse) {
        let (before, group) = (Group::of(last), Group::of(import));
        let (end, start) = (last.span().end(), import.span().start());
        let between = self.lines.get(end.line..start.line.saturating_sub(1));
        let separated = between.is_some_and(|lines| lines.iter().any(|l| l.trim().is_empty()));
        let (group_name, before_name) = (group.name(), before.name());
        if group < before {
            let reason = format!("an import from {group_name} after one from {before_name}");
            self.add(start, reason);
        } else if group > before && !separated {
            let reason =
                format!("no blank line between imports from {before_name} and from {group_name}");
            self.add(start, reason);
        } else if group == before && separated {
            let reason = format!("a blank line between imports from {group_name}");
            self.add(start, reason);
        }
    }
}

const fn as_import(item: &Item) -> Option<&ItemUse> {
    match item {
        Item::Use(import) => Some(import),
        _ => None,
    }
}

impl<'ast> Visit<'ast> for ImportCheck<'_> {
    fn visit_file(&mut self, file: &'ast File) {
        self.check_items(file.items.iter().map(as_import));
        syn::visit::visit_file(self, file);
    }

    fn visit_item_mod(&mut self, module: &'ast ItemMod) {
        if let Some((_, items)) = &module.content {
            self.check_items(items.iter().map(as_import));
        }
        syn::visit::visit_item_mod(self, module);
    }

    fn visit_block(&mut self, block: &'ast Block) {
        let imports = block.stmts.iter().map(|statement| match statement {
            Stmt::Item(item) => as_import(item),
            _ => None,
        });
        self.check_items(imports);
        syn::visit::visit_block(self, block);
    }
}

/// Returns the faults in the imports of a file; a file that can't be parsed is one fault.
#[must_use]
pub fn import_faults(file: &str, text: &str) -> Vec<SourceFault> {
    let parsed = match syn::parse_file(text) {
        Ok(parsed) => parsed,
        Err(e) => {
            return vec![SourceFault {
                file: file.to_owned(),
                line: e.span().start().line,
                reason: format!("can't be parsed: {e}"),
            }];
        }
    };
    let mut check = ImportCheck {
        file,
        lines: text.lines().collect(),
        faults: Vec::new(),
    };
    check.visit_file(&parsed);
    check.faults.sort();
    check.faults
}

/// Checks the imports of all Rust files of the workspace, tests included.
///
/// # Errors
///
/// Returns an error if a file or directory can't be read.
pub fn check_imports(root: &Path) -> io::Result<Vec<SourceFault>> {
    let files = source_files(root, &MEMBERS)?;
    let faults = files.iter().flat_map(|f| import_faults(&f.name, &f.text));
    Ok(faults.collect())
}
