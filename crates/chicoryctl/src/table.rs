//! Tables for people.

/// Renders rows under a head, columns padded to their widest cell.
#[must_use]
pub fn table(head: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = head.iter().map(|h| h.chars().count()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let head: Vec<String> = head.iter().map(ToString::to_string).collect();
    let mut text = String::new();
    for row in std::iter::once(&head).chain(rows) {
        let cells = row.iter().zip(&widths).map(|(c, w)| format!("{c:w$}"));
        let line = cells.collect::<Vec<_>>().join("  ");
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}
