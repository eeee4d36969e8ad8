//! The committed page and the committed results.

use std::{collections::BTreeSet, fs, path::Path};

use pulldown_cmark::{Event, Options, Parser, Tag, TagEnd};

use crate::{
    figures::{self, Figures},
    page::{RESULTS, filled},
    plan,
};

/// Word in the head of a column whose figures were all measured.
const MEASURED: &str = "measured";

fn committed(path: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("..").join(path);
    fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

fn results() -> Figures {
    figures::read(&committed("docs/slopes/results.txt"))
}

#[test]
fn every_linked_figure_of_the_page_is_the_committed_result() {
    let page = committed("docs/CAPACITY.md");
    assert!(page.contains(RESULTS));
    assert_eq!(filled(&page, &results()), Ok(page));
}

#[test]
fn every_sweep_has_committed_results_and_a_line_for_each_quantity() {
    let results = results();
    for sweep in plan::sweeps() {
        for quantity in sweep.quantities {
            let name = format!("{}.{quantity}", sweep.name);
            for size in sweep.sizes {
                let point = format!("{name}.at_{size}");
                assert!(results.0.contains_key(&point), "{point}");
            }
            for part in ["gradient", "intercept", "residual_ratio"] {
                let part = format!("{name}.{part}");
                assert!(results.0.contains_key(&part), "{part}");
            }
        }
    }
}

#[test]
fn every_plot_of_the_page_is_committed() {
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

/// A figure that a column calls measured, or a sign that it was not linked to a result.
#[test]
fn every_figure_of_a_measured_column_is_linked_to_a_result() {
    let page = committed("docs/CAPACITY.md");
    let cells = measured_cells(&page);
    assert!(cells.len() > 10, "{cells:?}");
    for cell in cells {
        let is_linked = cell
            .link
            .as_deref()
            .is_some_and(|link| link.starts_with(RESULTS));
        let first = cell.text.chars().next();
        let is_figure = first.is_some_and(|first| first.is_ascii_digit());
        let is_constant = cell.text.contains("entries");
        assert!(is_linked || !is_figure || is_constant, "{}", cell.text);
    }
}

#[derive(Debug, Default)]
struct Cell {
    text: String,
    link: Option<String>,
}

/// Returns the cells below a head that contains [`MEASURED`].
fn measured_cells(page: &str) -> Vec<Cell> {
    let mut cells = Vec::new();
    let mut measured = BTreeSet::new();
    let (mut column, mut is_head) = (0, false);
    let mut cell = Cell::default();
    for event in Parser::new_ext(page, Options::ENABLE_TABLES) {
        match event {
            Event::Start(Tag::TableHead) => {
                (is_head, column) = (true, 0);
                measured.clear();
            }
            Event::End(TagEnd::TableHead) => is_head = false,
            Event::Start(Tag::TableRow) => column = 0,
            Event::Start(Tag::TableCell) => cell = Cell::default(),
            Event::Start(Tag::Link { dest_url, .. }) => {
                cell.link.get_or_insert(dest_url.into_string());
            }
            Event::Text(text) => cell.text.push_str(&text),
            Event::End(TagEnd::TableCell) => {
                let cell = std::mem::take(&mut cell);
                if is_head && cell.text.contains(MEASURED) {
                    measured.insert(column);
                } else if !is_head && measured.contains(&column) {
                    cells.push(cell);
                }
                column += 1;
            }
            _ => {}
        }
    }
    cells
}
