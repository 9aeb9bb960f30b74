use std::thread;

use monsooncart_usage::{book, copies, counter, page};

use crate::fixture::{HOUR_START, Platform, book, counted, instance, sample};

#[test]
fn concurrent_takes_return_each_request_once() {
    let counter = counter::Counter::default();

    let taken: u64 = thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| (0..1_000).for_each(|n| counter.record(&sample(n % 7, 1))));
        }
        let takes = (0..10).flat_map(|_| counter.take());
        takes.map(|(_, tally)| tally.total()).sum()
    });
    let rest: u64 = counter.take().iter().map(|(_, tally)| tally.total()).sum();

    assert_eq!(taken + rest, 4_000);
}

#[test]
fn counts_are_written_to_the_platform_once() {
    let (mut book, mut platform) = (book(1), Platform::default());

    for _ in 0..3 {
        book.add(HOUR_START, counted(&[sample(1, 10), sample(2, 10)]));
        platform.write_all(&mut book);
        platform.write_all(&mut book);
    }

    assert!(book.is_confirmed());
    assert_eq!(platform.len(), 1);
    assert_eq!(platform.request_count(), 6);
}

#[test]
fn a_lost_response_neither_loses_nor_repeats_counts() {
    let (mut book, mut platform) = (book(1), Platform::default());
    book.add(HOUR_START, counted(&[sample(1, 10)]));
    let call = book.next_call().expect("a write");
    platform.call(call);
    book.record_response(&book::Response::Unknown);

    book.add(HOUR_START, counted(&[sample(1, 10)]));
    platform.write_all(&mut book);

    assert!(book.is_confirmed());
    assert_eq!(platform.request_count(), 2);
}

#[test]
fn a_delayed_write_does_not_undo_a_later_one() {
    let (mut book, mut platform) = (book(1), Platform::default());
    book.add(HOUR_START, counted(&[sample(1, 10)]));
    let delayed = book.next_call().expect("a write");
    book.record_response(&book::Response::Unknown);
    book.add(HOUR_START, counted(&[sample(1, 10)]));
    platform.write_all(&mut book);

    let response = platform.call(delayed);

    assert_eq!(response, book::Response::Conflict);
    assert_eq!(platform.request_count(), 2);
}

#[test]
fn pages_are_retained_while_the_platform_is_unavailable() {
    let (mut book, mut platform) = (book(1), Platform::default());
    for hour in 0..3 {
        book.add(
            HOUR_START + hour * page::PERIOD_SECONDS,
            counted(&[sample(1, 10)]),
        );
        book.next_call().expect("a write");
        book.record_response(&book::Response::Unavailable);
    }

    platform.write_all(&mut book);

    assert_eq!(platform.len(), 3);
    assert_eq!(platform.request_count(), 3);
    assert_eq!(book.unconfirmed().count(), 0);
}

#[test]
fn a_full_page_is_followed_by_a_new_page() {
    let (mut book, mut platform) = (book(1), Platform::default());
    let lines = page::MAX_LINES as u64 + 10;

    for organisation in 0..lines {
        book.add(HOUR_START, counted(&[sample(organisation, 10)]));
    }
    book.add(HOUR_START, counted(&[sample(0, 10)]));
    platform.write_all(&mut book);

    assert_eq!(platform.len(), 2);
    assert_eq!(platform.request_count(), lines + 1);
}

#[test]
fn a_full_page_fits_the_platform_size_limit() {
    let mut book = book(1);
    for organisation in 0..page::MAX_LINES as u64 {
        let mut sample = sample(organisation, u64::MAX / 4);
        let name = format!("{organisation:0>100}");
        sample.organisation = name.parse().expect("a name");
        sample.service = name.parse().expect("a name");
        book.add(HOUR_START, counted(&[sample]));
    }

    let page = book.unconfirmed().next().expect("a page");
    let bytes = serde_json::to_vec(page).expect("pages are JSON").len();

    assert!(bytes < 1 << 20, "{bytes} bytes");
}

#[test]
fn copies_of_a_crashed_daemon_supply_its_unwritten_counts() {
    let (mut book, mut platform) = (book(1), Platform::default());
    let mut copies = copies::Copies::default();
    book.add(HOUR_START, counted(&[sample(1, 10)]));
    book.unconfirmed()
        .for_each(|page| copies.insert(page.clone()));
    book.add(HOUR_START, counted(&[sample(1, 10)]));
    book.unconfirmed()
        .for_each(|page| copies.insert(page.clone()));
    let call = book.next_call().expect("a write");
    platform.call(call);

    let mut totals = platform.totals();
    copies
        .of_instance(instance(1))
        .for_each(|page| totals.add(page.clone()));

    let requests: u64 = totals.by_key().values().map(|t| t.total()).sum();
    assert_eq!(requests, 2);
}
