"""The page docs/PACKAGES.md: which package imports which, found by grimp.

    python tools/import_diagram.py > docs/PACKAGES.md

A test holds the page and the code together, import-linter holds the direction.
"""

import tomllib
from pathlib import Path

import grimp

ROOT = Path(__file__).parent.parent
INTRODUCTION = """\
# Packages

Made by `make docs`; a test in CI fails when it is out of date. An arrow points from the
package that imports to the one that is imported. `make lint` refuses an import against
the layers of `pyproject.toml`, highest first: {layers}.
"""


def package_names() -> list[str]:
    """Return the workspace's packages, as import-linter knows them."""
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())
    return sorted(project["tool"]["importlinter"]["root_packages"])


def layer_names() -> list[str]:
    """Return the layers, highest first."""
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())
    return project["tool"]["importlinter"]["contracts"][0]["layers"]


def package_imports(names: list[str]) -> list[tuple[str, str, int]]:
    """Return pairs of packages and how many modules of the first import the second."""
    graph = grimp.build_graph(*names, cache_dir=None)
    importers: dict[tuple[str, str], set[str]] = {}
    for module in graph.modules:
        for imported in graph.find_modules_directly_imported_by(module):
            pair = (module.split(".")[0], imported.split(".")[0])
            if pair[0] != pair[1]:
                importers.setdefault(pair, set()).add(module)
    return [(*pair, len(modules)) for pair, modules in sorted(importers.items())]


def import_page() -> str:
    """Return the whole page."""
    names = package_names()
    layers = ", ".join(f"`{layer}`" for layer in layer_names())
    lines = [INTRODUCTION.format(layers=layers), "```mermaid", "graph TD"]
    for importer, imported, _ in package_imports(names):
        lines.append(f"    {importer} --> {imported}")
    lines += ["```", ""]
    return "\n".join(lines)


if __name__ == "__main__":
    print(import_page(), end="")
