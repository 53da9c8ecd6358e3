"""The scanner that finds the table group of a statement."""

import tracemalloc
import unittest

from decklb.wire.table_group import table_group, tokenize


def memory_used_by(function, text):
    """Return the largest number of bytes that a call had allocated at a time."""
    function(text)  # what the first call leaves behind is not counted
    tracemalloc.start()
    function(text)
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    return peak


class TableGroup(unittest.TestCase):
    def test_the_group_of_a_statement_is_found(self):
        for text, group in (
            ("select a from sales_17.orders", 17),
            ("SELECT a FROM Sales_17 . Orders", 17),
            ("select 1", 0),
            ("", 0),
            ("select '--' from a_2.b", 2),
            ("select 'x_9.y' from a_2.b", 2),
            ("select 'it''s x_9.y' from a_2.b", 2),
            (r"select E'\' x_9.y' from a_2.b", 2),
            ("select type'x_9.y' from a_2.b", 2),
            ("-- x_9.y\nselect 1 from a_2.b", 2),
            ("-- x_9.y\rselect 1 from a_2.b", 2),
            ("/* x_9.y /* z_8.y */ w_7.y */ select 1 from a_2.b", 2),
            ("/* x_9.y", 0),
            ("select $$ x_9.y $$ from a_2.b", 2),
            ("select $q$ $$ x_9.y $q$ from a_2.b", 2),
            ("select $1, $2 from a_2.b where c = $3", 2),
            ("select $$ x_9.y", 0),
            ("select 'x_9.y", 0),
            ('select * from "a_2".b', 2),
            ('select "x_9.y" from "a b_2"."c"', 2),
            ('select "odd""x_9.y" from a_2.b', 2),
            ("insert into staging.x_9 select * from a_2.b", 2),
            ("copy staging.x from a_2.b", 2),
            ('insert into "staging".t select 1 from a_2.b', 2),
            ("select o_1.id from a_2.orders o_1", 2),
            ("update a_12.b set c = 1", 12),
            ("delete from a_3.b using a_4.c", 3),
            ("select 1.5, a_2 from b_3.c", 3),
            ("select a.b_2 from c_4.d", 4),
            ("select x from a_2x.b join c_5.d on 1=1", 5),
            ("select * from db.a_6.b", 6),
            ("select a_1234567890.b", 0),
            ("truncate a_7.b", 7),
            ("select a$_2.b, 1 from c_3.d", 3),
        ):
            self.assertEqual(table_group(text.encode()), group, text)

    def test_bytes_that_are_not_text_are_scanned(self):
        for text in (b"\xff\xfe\0", b"\xc3", b"select '\xff' from a_2.b", b"$" * 999, b"'" * 999, b"/*" * 999):
            self.assertIn(table_group(text), (0, 2))

    # Guards against the class of incident 2: patterns that keep a way back for each character of a client's text.
    def test_scanning_a_long_constant_takes_no_more_memory_than_a_few_copies_of_it(self):
        size = 100_000
        constants = (
            size * b"'",
            b"'" + size * b"a" + b"'",
            b"e'" + size * b"a" + b"'",
            b'from "' + size * b'"' + b'".a',
        )
        for constant in constants:
            for function in (table_group, tokenize):
                self.assertLess(memory_used_by(function, constant), 4 * size, (function, constant[:10]))


if __name__ == "__main__":
    unittest.main()
