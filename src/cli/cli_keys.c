/* Commands for signing keys and tokens. */
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>
#include <sodium.h>

#include "cli/internal/cli_private.h"

enum { TOKEN_MAX_BYTES = 4096 };

/* Writes the bytes in hex to a new file that only its owner can read. */
static bool
write_secret(const char *path, const unsigned char *bytes, size_t size)
{
    int fd = open(path, O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, 0600);
    char hex[2 * crypto_sign_SECRETKEYBYTES + 1];
    bool ok;

    if (fd < 0) {
        return false;
    }
    g_assert(2 * size + 1 <= sizeof(hex));
    sodium_bin2hex(hex, sizeof(hex), bytes, size);
    ok = write(fd, hex, 2 * size) == (ssize_t)(2 * size) &&
         write(fd, "\n", 1) == 1;
    sodium_memzero(hex, sizeof(hex));
    close(fd);
    return ok;
}

int
cli_key_new(struct cli *cli)
{
    unsigned char public_key[crypto_sign_PUBLICKEYBYTES];
    unsigned char secret_key[crypto_sign_SECRETKEYBYTES];
    char hex[2 * crypto_sign_PUBLICKEYBYTES + 1];
    bool ok;

    if (cli->out == NULL) {
        fprintf(stderr, "curlewcart: --out is required: the key's file\n");
        return EXIT_USAGE;
    }
    crypto_sign_keypair(public_key, secret_key);
    ok = write_secret(cli->out, secret_key, sizeof(secret_key));
    sodium_memzero(secret_key, sizeof(secret_key));
    if (!ok) {
        fprintf(stderr,
                "curlewcart: %s cannot be created (does it exist already?)\n",
                cli->out);
        return EXIT_INVALID;
    }
    sodium_bin2hex(hex, sizeof(hex), public_key, sizeof(public_key));
    printf("%s\n", hex);
    return EXIT_OK;
}

bool
cli_read_secret_key(const char *path, unsigned char *key, size_t size)
{
    struct stat info;
    char *text = NULL;
    size_t length = 0;
    bool ok;

    if (stat(path, &info) != 0 || (info.st_mode & (S_IRWXG | S_IRWXO)) != 0 ||
        !g_file_get_contents(path, &text, NULL, NULL))
    {
        fprintf(stderr, "curlewcart: %s: expected a key file with mode 0600\n",
                path);
        return false;
    }
    ok = sodium_hex2bin(key, size, text, strlen(text), " \n", &length, NULL) ==
             0 &&
         length == size;
    sodium_memzero(text, strlen(text));
    g_free(text);
    if (!ok) {
        fprintf(stderr, "curlewcart: %s: not a secret key\n", path);
    }
    return ok;
}

int
cli_token_hash(struct cli *cli)
{
    char token[TOKEN_MAX_BYTES];
    unsigned char hash[CW_HASH_BYTES];
    char hex[2 * CW_HASH_BYTES + 1];

    (void)cli;
    if (fgets(token, sizeof(token), stdin) == NULL) {
        fprintf(stderr, "curlewcart: no token on standard input\n");
        return EXIT_INVALID;
    }
    g_strstrip(token);
    crypto_generichash(hash, sizeof(hash), (const unsigned char *)token,
                       strlen(token), NULL, 0);
    sodium_memzero(token, sizeof(token));
    sodium_bin2hex(hex, sizeof(hex), hash, sizeof(hash));
    printf("%s\n", hex);
    return EXIT_OK;
}
