/* Unpacks the program that follows this launcher in its file, then becomes it.
 *
 * The file ends with a trailer that names the payload's place and digest. The
 * payload is a row of entries, each a header, a path and the content. It is unpacked
 * once into a directory named by the digest; execv keeps the process.
 */

#define _GNU_SOURCE

#include <errno.h>
#include <fcntl.h>
#include <ftw.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#define MAGIC "KNAPWEED"
#define DIGEST_BYTES 32
#define PATH_BYTES 4096
#define UNPACK_VARIABLE "KNAPWEEDROCK_UNPACK_DIR"
#define DEFAULT_DIRECTORY "/tmp"
#define PROGRAM "knapweedrock"
#define STATUS_NOT_UNPACKED 1
#define OPEN_DIRECTORIES 16

struct trailer {
    char magic[8];
    uint64_t payload_offset;
    uint64_t payload_bytes;
    char digest[DIGEST_BYTES];
};

struct entry {
    uint32_t path_bytes;
    uint32_t mode;
    uint64_t content_bytes;
};

static void fail(const char *what, const char *path) {
    fprintf(stderr, "error: can't %s %s: %s\n", what, path, strerror(errno));
    exit(STATUS_NOT_UNPACKED);
}

static void join(char *joined, const char *directory, const char *name) {
    if (snprintf(joined, PATH_BYTES, "%s/%s", directory, name) >= PATH_BYTES) {
        errno = ENAMETOOLONG;
        fail("use", directory);
    }
}

static void read_exactly(FILE *file, void *data, size_t bytes) {
    if (fread(data, 1, bytes, file) != bytes) {
        errno = EIO;
        fail("read", "the program's own file");
    }
}

static void make_parents(char *path) {
    for (char *slash = strchr(path + 1, '/'); slash; slash = strchr(slash + 1, '/')) {
        *slash = '\0';
        if (mkdir(path, 0700) != 0 && errno != EEXIST) fail("create", path);
        *slash = '/';
    }
}

static void copy_content(FILE *file, int target, uint64_t bytes, const char *path) {
    static char block[1 << 16];
    while (bytes > 0) {
        size_t size = bytes < sizeof block ? bytes : sizeof block;
        read_exactly(file, block, size);
        for (size_t done = 0; done < size;) {
            ssize_t written = write(target, block + done, size - done);
            if (written < 0) fail("write", path);
            done += written;
        }
        bytes -= size;
    }
}

static uint64_t unpack_entry(FILE *file, const char *directory) {
    struct entry entry;
    char name[PATH_BYTES], path[PATH_BYTES];
    read_exactly(file, &entry, sizeof entry);
    if (entry.path_bytes >= PATH_BYTES) {
        errno = ENAMETOOLONG;
        fail("unpack", directory);
    }
    read_exactly(file, name, entry.path_bytes);
    name[entry.path_bytes] = '\0';
    join(path, directory, name);
    make_parents(path);
    int target = open(path, O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, entry.mode);
    if (target < 0) fail("create", path);
    copy_content(file, target, entry.content_bytes, path);
    if (close(target) != 0) fail("write", path);
    return sizeof entry + entry.path_bytes + entry.content_bytes;
}

static int remove_one(const char *path, const struct stat *s, int kind, struct FTW *f) {
    (void)s, (void)kind, (void)f;
    return remove(path);
}

static void unpack(FILE *file, const struct trailer *trailer, const char *directory) {
    char fresh[PATH_BYTES];
    join(fresh, directory, "");
    snprintf(fresh + strlen(directory), PATH_BYTES - strlen(directory), ".XXXXXX");
    if (mkdtemp(fresh) == NULL) fail("create", fresh);
    if (fseek(file, trailer->payload_offset, SEEK_SET) != 0) fail("read", "itself");
    for (uint64_t done = 0; done < trailer->payload_bytes;) {
        done += unpack_entry(file, fresh);
    }
    if (rename(fresh, directory) == 0) return;
    if (errno != EEXIST && errno != ENOTEMPTY) fail("rename", fresh);
    nftw(fresh, remove_one, OPEN_DIRECTORIES, FTW_DEPTH | FTW_PHYS);
}

static int is_unpacked(const char *directory) {
    struct stat found;
    if (lstat(directory, &found) != 0) return 0;
    if (!S_ISDIR(found.st_mode) || found.st_uid != geteuid() || found.st_mode & 022) {
        errno = EPERM;
        fail("trust", directory);
    }
    return 1;
}

int main(int count, char **arguments) {
    struct trailer trailer;
    char name[sizeof PROGRAM + 1 + DIGEST_BYTES], directory[PATH_BYTES];
    char program[PATH_BYTES];
    const char *parent = getenv(UNPACK_VARIABLE);
    FILE *file = fopen("/proc/self/exe", "rbe");
    (void)count;
    if (file == NULL || fseek(file, -(long)sizeof trailer, SEEK_END) != 0) {
        fail("read", "/proc/self/exe");
    }
    read_exactly(file, &trailer, sizeof trailer);
    if (memcmp(trailer.magic, MAGIC, sizeof trailer.magic) != 0) {
        errno = ENOEXEC;
        fail("find the program in", arguments[0]);
    }
    snprintf(name, sizeof name, "%s-%.*s", PROGRAM, DIGEST_BYTES, trailer.digest);
    join(directory, parent && *parent ? parent : DEFAULT_DIRECTORY, name);
    if (!is_unpacked(directory)) unpack(file, &trailer, directory);
    is_unpacked(directory);
    join(program, directory, PROGRAM);
    execv(program, arguments);
    fail("run", program);
}
