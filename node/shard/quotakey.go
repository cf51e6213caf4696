package shard

import (
	"crypto/sha256"
	"encoding/hex"
	"net/url"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// The names of client accounts have any length, and keys of the store a limited one. An account is therefore identified by its
// escaped name or, if that is long, by a hash of its name.

const (
	// maxQuotaKeyBytes is the longest key that the store takes.
	maxQuotaKeyBytes = 255
	// maxEscapedAccountBytes is the length of an escaped name that fits into a key beside a slash and ten digits of a shard.
	maxEscapedAccountBytes = maxQuotaKeyBytes - 11
	// hashedPrefix marks ids that are hashes: an escaped name has no slash.
	hashedPrefix = "/"
)

// accountID returns the id of an account.
func accountID(name string) string {
	if escaped := url.PathEscape(name); len(escaped) <= maxEscapedAccountBytes {
		return escaped
	}
	return hashedAccountID(name)
}

func hashedAccountID(name string) string {
	hash := sha256.Sum256([]byte(name))
	return hashedPrefix + hex.EncodeToString(hash[:])
}

// quotaKey returns the key of an account's share in a shard: the escaped name where it fits, as in earlier builds, or the hash,
// and the number of the shard.
func quotaKey(account string, shard int) string {
	number := "/" + strconv.Itoa(shard)
	if key := url.PathEscape(account) + number; len(key) <= maxQuotaKeyBytes {
		return key
	}
	return hashedAccountID(account) + number
}

// parseQuotaKey returns the account's id, its name if the key has it, and the shard of a key.
func parseQuotaKey(key string) (id, name string, shard int, err error) {
	before, number, _ := cutLast(key)
	if shard, err = strconv.Atoi(number); err != nil {
		return "", "", 0, errors.Wrap(err, "shard")
	}
	canonical := ""
	if hash, hashed := strings.CutPrefix(before, hashedPrefix); hashed {
		sum, decodeErr := hex.DecodeString(hash)
		if decodeErr != nil || len(sum) != sha256.Size {
			return "", "", 0, errors.New("account is not a hash")
		}
		id = hashedPrefix + hex.EncodeToString(sum)
		canonical = id + "/" + strconv.Itoa(shard)
	} else {
		if name, err = url.PathUnescape(before); err != nil {
			return "", "", 0, errors.Wrap(err, "account")
		}
		id, canonical = accountID(name), quotaKey(name, shard)
	}
	if canonical != key {
		return "", "", 0, errors.New("key is not in its usual form")
	}
	return id, name, shard, nil
}

// accountOfID returns the name of an account by its id, and false if the id is a hash.
func accountOfID(id string) (name string, ok bool) {
	if strings.HasPrefix(id, hashedPrefix) {
		return "", false
	}
	name, err := url.PathUnescape(id)
	return name, err == nil
}
