"""Build the single-file binary: a launcher followed by a packed PyInstaller directory.

The launcher unpacks the directory and executes the program in it.
"""

import hashlib
import shutil
import struct
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
BUILD = ROOT / "build" / "binary"
BINARY = ROOT / "dist" / "knapweedrock"
LAUNCHER_SOURCE = ROOT / "tools" / "launcher" / "launcher.c"
LAUNCHER_TARGET = "x86_64-linux-gnu.2.28"
EXCLUDED_MODULES = ("tkinter", "setuptools", "sqlite3", "curses", "readline", "lib2to3")
MAGIC = b"KNAPWEED"
DIGEST_CHARACTERS = 32
ENTRY_HEADER = struct.Struct("=IIQ")
TRAILER = struct.Struct(f"=8sQQ{DIGEST_CHARACTERS}s")


def freeze_program() -> Path:
    """Freeze the program and its interpreter into a directory with PyInstaller."""
    command = [sys.executable, "-m", "PyInstaller", "--noconfirm", "--log-level"]
    command += ["ERROR", "--onedir", "--name", BINARY.name, "--contents-directory"]
    command += ["lib", "--collect-submodules", "knapweedrock", "--paths", str(ROOT)]
    command += [
        "--distpath",
        str(BUILD / "frozen"),
        "--workpath",
        str(BUILD / "work"),
    ]
    command += ["--specpath", str(BUILD)]
    for module in EXCLUDED_MODULES:
        command += ["--exclude-module", module]
    if shutil.which("strip"):
        command.append("--strip")
    subprocess.run([*command, str(ROOT / "knapweedrock" / "__main__.py")], check=True)
    return BUILD / "frozen" / BINARY.name


def compile_launcher() -> Path:
    """Compile the launcher against the oldest supported glibc."""
    launcher = BUILD / "launcher"
    command = [sys.executable, "-m", "ziglang", "cc", "-target", LAUNCHER_TARGET]
    command += ["-O2", "-s", "-Wall", "-Wextra", "-Werror", str(LAUNCHER_SOURCE)]
    subprocess.run([*command, "-o", str(launcher)], check=True)
    return launcher


def pack_directory(directory: Path) -> bytes:
    """Pack all files of a directory; symbolic links become copies of their targets."""
    payload = bytearray()
    for path in sorted(directory.rglob("*")):
        if path.is_dir():
            continue
        name = str(path.relative_to(directory)).encode()
        content = path.read_bytes()
        mode = path.stat().st_mode & 0o700
        payload += ENTRY_HEADER.pack(len(name), mode, len(content)) + name + content
    return bytes(payload)


def write_binary(launcher: bytes, payload: bytes) -> None:
    """Write the launcher, the payload and a trailer into one file."""
    digest = hashlib.sha256(launcher + payload).hexdigest()[:DIGEST_CHARACTERS]
    trailer = TRAILER.pack(MAGIC, len(launcher), len(payload), digest.encode())
    BINARY.parent.mkdir(exist_ok=True)
    new_binary = BINARY.with_suffix(".new")
    new_binary.write_bytes(launcher + payload + trailer)
    new_binary.chmod(0o755)
    new_binary.replace(BINARY)


def main() -> int:
    """Build the binary and print its path and size."""
    frozen = freeze_program()
    launcher = compile_launcher()
    write_binary(launcher.read_bytes(), pack_directory(frozen))
    print(f"{BINARY.relative_to(ROOT)}: {BINARY.stat().st_size} bytes")
    return 0


if __name__ == "__main__":
    sys.exit(main())
