//! Tests that the committed `docs/CAPACITY.md` and the committed results agree.

use std::{collections::BTreeSet, fs, path::Path};

use pulldown_cmark::{Event, Options, Parser, Tag, TagEnd};

use crate::{
    page::{RESULTS_LINK, update_links},
    plan,
    results::{self, Results},
};

/// Marker in the heading of a column that holds only measured values.
const MEASURED: &str = "measured";

fn committed(path: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("..").join(path);
    fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

fn results() -> Results {
    results::parse(&committed("docs/slopes/results.txt"))
}

#[test]
fn linked_values_match_committed_results() {
    let page = committed("docs/CAPACITY.md");
    assert!(page.contains(RESULTS_LINK));
    assert_eq!(update_links(&page, &results()), Ok(page));
}

#[test]
fn every_sweep_has_committed_results() {
    let results = results();
    for sweep in plan::sweeps() {
        for quantity in sweep.quantities {
            let name = format!("{}.{quantity}", sweep.name);
            for size in sweep.sizes {
                let point = format!("{name}.at_{size}");
                assert!(results.0.contains_key(&point), "{point}");
            }
            for coefficient in ["gradient", "intercept", "residual_ratio"] {
                let coefficient = format!("{name}.{coefficient}");
                assert!(results.0.contains_key(&coefficient), "{coefficient}");
            }
        }
    }
}

#[test]
fn plots_on_page_are_committed() {
    let page = committed("docs/CAPACITY.md");
    let images = Parser::new(&page).filter_map(|event| match event {
        Event::Start(Tag::Image { dest_url, .. }) => Some(dest_url.into_string()),
        _ => None,
    });
    let images: BTreeSet<String> = images.collect();
    assert!(!images.is_empty());
    for image in images {
        assert!(
            committed(&format!("docs/{image}")).contains("<svg"),
            "{image}"
        );
    }
}

/// A number typed by hand in a measured column would not be updated with the results. Cells that
/// mention `entries` hold constants and need no link.
#[test]
fn measured_values_are_linked_to_results() {
    let page = committed("docs/CAPACITY.md");
    let cells = measured_cells(&page);
    assert!(cells.len() > 10, "{cells:?}");
    for cell in cells {
        let is_linked = cell
            .link
            .as_deref()
            .is_some_and(|link| link.starts_with(RESULTS_LINK));
        let first = cell.text.chars().next();
        let is_number = first.is_some_and(|first| first.is_ascii_digit());
        let is_constant = cell.text.contains("entries");
        assert!(is_linked || !is_number || is_constant, "{}", cell.text);
    }
}

#[derive(Debug, Default)]
struct Cell {
    text: String,
    link: Option<String>,
}

/// Returns the cells of columns whose heading contains [`MEASURED`].
fn measured_cells(page: &str) -> Vec<Cell> {
    let mut cells = Vec::new();
    let mut measured = BTreeSet::new();
    let (mut column, mut is_header) = (0, false);
    let mut cell = Cell::default();
    for event in Parser::new_ext(page, Options::ENABLE_TABLES) {
        match event {
            Event::Start(Tag::TableHead) => {
                (is_header, column) = (true, 0);
                measured.clear();
            }
            Event::End(TagEnd::TableHead) => is_header = false,
            Event::Start(Tag::TableRow) => column = 0,
            Event::Start(Tag::TableCell) => cell = Cell::default(),
            Event::Start(Tag::Link { dest_url, .. }) => {
                cell.link.get_or_insert(dest_url.into_string());
            }
            Event::Text(text) => cell.text.push_str(&text),
            Event::End(TagEnd::TableCell) => {
                let cell = std::mem::take(&mut cell);
                if is_header && cell.text.contains(MEASURED) {
                    measured.insert(column);
                } else if !is_header && measured.contains(&column) {
                    cells.push(cell);
                }
                column += 1;
            }
            _ => {}
        }
    }
    cells
}
