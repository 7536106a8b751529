//! Reads the source files of the repository.

use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;

/// A Rust source file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SourceFile {
    /// Path, relative to the root of the repository.
    pub(crate) name: String,
    /// Content.
    pub(crate) text: String,
}

/// Reads all Rust files below some directories of the repository, sorted by path.
///
/// # Errors
///
/// Returns an error if a file or directory can't be read.
pub(crate) fn source_files(root: &Path, directories: &[&str]) -> io::Result<Vec<SourceFile>> {
    let mut files = Vec::new();
    let mut pending: Vec<PathBuf> = directories.iter().map(|d| root.join(d)).collect();
    while let Some(directory) = pending.pop() {
        for entry in fs::read_dir(directory)? {
            let path = entry?.path();
            if path.is_dir() {
                pending.push(path);
            } else if path.extension().is_some_and(|e| e == "rs") {
                let name = path.strip_prefix(root).unwrap_or(&path);
                let name = name.display().to_string();
                let text = fs::read_to_string(&path)?;
                files.push(SourceFile { name, text });
            }
        }
    }
    files.sort();
    Ok(files)
}
