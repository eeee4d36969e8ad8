//! Tests of the measuring task.

use crate::{read_case, shipped_cases};

#[test]
fn every_shipped_case_can_be_read() {
    let paths = shipped_cases().expect("the directory of the cases can be read");
    assert!(!paths.is_empty());
    for path in paths {
        let case = read_case(&path).expect("the case has no findings");
        assert_eq!(
            Some(case.name.as_str()),
            path.file_stem().and_then(|stem| stem.to_str())
        );
    }
}
