use monsooncart_usage::{page, totals};

use crate::fixture::{HOUR_START, book, counted, sample};

#[test]
fn page_copies_count_once_in_any_order() {
    arbtest::arbtest(|u| {
        let mut all = Vec::new();
        let mut expected = 0;
        for number in 1..=3 {
            let mut book = book(number);
            for _ in 0..u.int_in_range(1..=4)? {
                let hour = u.int_in_range(0..=1)? * page::PERIOD_SECONDS;
                book.add(HOUR_START + hour, counted(&[sample(number, 10)]));
                expected += 1;
                all.extend(book.unconfirmed().cloned());
            }
        }
        let mut totals = totals::Totals::default();

        let mut order: Vec<usize> = (0..all.len()).collect();
        for index in 0..order.len() {
            let other = u.choose_index(order.len())?;
            order.swap(index, other);
        }
        for index in order.iter().chain(&order) {
            totals.add(all[*index].clone());
        }

        let requests: u64 = totals.by_organisation().values().map(|t| t.total()).sum();
        assert_eq!(requests, expected);
        Ok(())
    });
}

#[test]
fn a_page_round_trips_through_json_and_postcard() {
    let mut book = book(1);
    book.add(HOUR_START, counted(&[sample(1, 10), sample(2, 10)]));
    let page = book.unconfirmed().next().expect("a page").clone();

    let text = serde_json::to_string(&page).expect("pages are JSON");
    let read: page::Page = serde_json::from_str(&text).expect("it reads back");
    let bytes = postcard::to_stdvec(&page).expect("pages encode");
    let decoded: page::Page = postcard::from_bytes(&bytes).expect("it decodes");

    assert_eq!(read, page);
    assert_eq!(decoded, page);
}
