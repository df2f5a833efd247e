"""All errors are reported at once, and the examples print the committed files."""

import pathlib
import unittest
from dataclasses import replace

from examples import piton_frost, zagadka
from filbertlead_config import Configuration, ConfigurationError, Model, Service, hash_key

EXAMPLES = pathlib.Path(__file__).parents[2] / "docs" / "examples"


class PrintingTest(unittest.TestCase):
    """Configurations printed as INI, and key hashes."""

    def test_examples_match_committed_files(self) -> None:
        for module, name in ((piton_frost, "piton_frost"), (zagadka, "zagadka")):
            with self.subTest(name):
                committed = (EXAMPLES / f"{name}.ini").read_text()
                self.assertEqual(module.CONFIGURATION.to_ini(), committed)

    def test_key_hash(self) -> None:
        expected = "5e884898da28047151d0e56f8dc6292773603d0d6aabbdd62a11ef721d1542d8"
        self.assertEqual(hash_key("password"), expected)

    def test_minimal_configuration(self) -> None:
        text = Configuration(operator="mira").to_ini()
        self.assertEqual(text, "[configuration]\noperator = mira\nparent_version = 0\n")


class InvalidConfigurationTest(unittest.TestCase):
    """Invalid configurations and their messages."""

    def faults(self, **changes: object) -> list[str]:
        changed = replace(piton_frost.CONFIGURATION, **changes)
        with self.assertRaises(ConfigurationError) as caught:
            changed.to_ini()
        return caught.exception.faults

    def test_one_error_each(self) -> None:
        shop = piton_frost.CONFIGURATION.workspaces[0]
        question = replace(piton_frost.QUESTION, deadline_ms=100)
        cases = (
            ({"operator": "a b"}, "[configuration] operator = 'a b'"),
            ({"parent_version": -1}, "[configuration] parent_version = -1"),
            ({"workspaces": (shop, shop)}, "workspace summit-rental is declared 2 times"),
            ({"workspaces": (replace(shop, weight=0),)}, "[workspace summit-rental] weight = 0"),
            ({"workspaces": (replace(shop, models=("x",)),)}, "names x, which is not declared"),
            ({"workspaces": (replace(shop, services=("y",)),)}, "names y, which is not declared"),
            ({"workspaces": (replace(shop, classes=()),)}, "has no class of calls"),
            ({"workspaces": (replace(shop, key_sha256_hex="00"),)}, "key_sha256_hex: expected"),
            ({"workspaces": (replace(shop, classes=(question,)),)}, "deadline_ms = 100"),
        )
        for changes, expected in cases:
            with self.subTest(expected):
                faults = self.faults(**changes)
                self.assertEqual(len(faults), 1, faults)
                self.assertIn(expected, faults[0])

    def test_all_errors_at_once(self) -> None:
        model = Model(name="a/b", weights_bytes=0)
        service = Service(name="", pool="p q", repeatable=True, timeout_ms=0)
        faults = self.faults(workspaces=(), models=(model,), services=(service,))
        self.assertEqual(len(faults), 5, faults)


if __name__ == "__main__":
    unittest.main()
