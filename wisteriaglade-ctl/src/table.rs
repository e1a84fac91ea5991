//! Formatting of JSON values as aligned text tables.

use serde_json::{Map, Value};

/// Columns that are printed first, in this order. All others follow in alphabetical
/// order.
const LEADING_COLUMNS: [&str; 9] = [
    "version",
    "member",
    "pool",
    "node",
    "name",
    "host",
    "data_centre",
    "shard",
    "id",
];

/// The separator between columns.
const COLUMN_SEPARATOR: &str = "  ";

/// Renders a value. A list of objects is a table with one row for each object. An
/// object has one row for each field, followed by a table for each list of objects in
/// it. Any other value is one line.
pub(crate) fn render(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::Array(items) if items.is_empty() => "none\n".into(),
        Value::Array(items) if is_list(items) => render_list(items),
        Value::Object(fields) => render_object(fields),
        other => format!("{}\n", render_inline(other)),
    }
}

/// Renders a value on one line. Control characters are escaped, because the value
/// comes from a node and is printed on a terminal.
pub(crate) fn render_inline(value: &Value) -> String {
    let text = match value {
        Value::Null => "-".into(),
        Value::String(text) => text.clone(),
        Value::Array(items) => items
            .iter()
            .map(render_inline)
            .collect::<Vec<_>>()
            .join(","),
        Value::Object(fields) => fields
            .iter()
            .map(|(name, value)| format!("{name}={}", render_inline(value)))
            .collect::<Vec<_>>()
            .join(" "),
        Value::Bool(_) | Value::Number(_) => value.to_string(),
    };
    escape_control(&text)
}

/// Renders rows under a heading in upper case. Columns in which every value is a
/// number are aligned to the right.
pub(crate) fn render_rows(heading: &[&str], rows: &[Vec<Value>]) -> String {
    let align_right: Vec<bool> = (0..heading.len())
        .map(|column| rows.iter().all(|row| row[column].is_number()))
        .collect();
    let mut lines = vec![
        heading
            .iter()
            .map(|name| escape_control(name).to_uppercase())
            .collect(),
    ];
    lines.extend(
        rows.iter()
            .map(|row| row.iter().map(render_inline).collect()),
    );
    align(&lines, &align_right)
}

/// Whether the items are objects, which are printed as a table.
fn is_list(items: &[Value]) -> bool {
    !items.is_empty() && items.iter().all(Value::is_object)
}

fn render_list(items: &[Value]) -> String {
    let mut columns: Vec<&str> = Vec::new();
    for name in items
        .iter()
        .filter_map(Value::as_object)
        .flat_map(Map::keys)
    {
        if !columns.contains(&name.as_str()) {
            columns.push(name);
        }
    }
    columns.sort_by_key(|name| {
        let leading = LEADING_COLUMNS.iter().position(|leading| leading == name);
        (leading.unwrap_or(LEADING_COLUMNS.len()), *name)
    });
    let cell = |item: &Value, name: &&str| item.get(*name).cloned().unwrap_or(Value::Null);
    let cells: Vec<Vec<Value>> = items
        .iter()
        .map(|item| columns.iter().map(|name| cell(item, name)).collect())
        .collect();
    render_rows(&columns, &cells)
}

fn render_object(fields: &Map<String, Value>) -> String {
    let mut lines = Vec::new();
    let mut lists = Vec::new();
    flatten("", fields, &mut lines, &mut lists);
    let mut text = align(&lines, &[false, false]);
    for (name, items) in lists {
        if !text.is_empty() {
            text.push('\n');
        }
        text += &escape_control(&name);
        text += ":\n";
        text += &render_list(items);
    }
    text
}

/// Collects the fields of an object, and of the objects nested in it under dotted
/// names, into `lines`. Lists of objects are collected into `lists`.
fn flatten<'a>(
    prefix: &str,
    fields: &'a Map<String, Value>,
    lines: &mut Vec<Vec<String>>,
    lists: &mut Vec<(String, &'a [Value])>,
) {
    for (name, value) in fields {
        let name = format!("{prefix}{name}");
        match value {
            Value::Object(nested) if !nested.is_empty() => {
                flatten(&format!("{name}."), nested, lines, lists);
            }
            Value::Array(items) if is_list(items) => lists.push((name, items)),
            _ => lines.push(vec![escape_control(&name), render_inline(value)]),
        }
    }
}

/// Pads cells to the width of their column. `align_right` says which columns are aligned
/// to the right.
fn align(lines: &[Vec<String>], align_right: &[bool]) -> String {
    let width = |column: usize| {
        let cells = lines.iter().map(|line| line[column].chars().count());
        cells.max().unwrap_or_default()
    };
    let widths: Vec<usize> = (0..align_right.len()).map(width).collect();
    let mut text = String::new();
    for line in lines {
        let cells: Vec<String> = line
            .iter()
            .zip(widths.iter().zip(align_right))
            .map(|(cell, (&width, &align_right))| {
                if align_right {
                    format!("{cell:>width$}")
                } else {
                    format!("{cell:<width$}")
                }
            })
            .collect();
        text.push_str(cells.join(COLUMN_SEPARATOR).trim_end());
        text.push('\n');
    }
    text
}

/// Escapes control characters, which a terminal would interpret.
pub(crate) fn escape_control(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for character in text.chars() {
        if character.is_control() {
            escaped.extend(character.escape_default());
        } else {
            escaped.push(character);
        }
    }
    escaped
}
