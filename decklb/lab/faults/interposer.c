/* Makes chosen system calls of the process that loads it (LD_PRELOAD) fail, transfer fewer bytes or be delayed.
 *
 * DECKLB_FAULTS names a file with a `struct control`, which is mapped into memory and shared with the process that sets
 * the rules (interposer.py). A rule matches a call by its number and, if `port` is not 0, by the local or remote port
 * of its socket. Only wrappers of the C library are interposed; the real wrapper then makes the system call.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/types.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum { MAX_RULES = 16 };

/* In the order of CALLS in interposer.py. */
enum call { ACCEPT4, CONNECT, SOCKET, BIND, GETSOCKOPT, SETSOCKOPT, RECV, RECVFROM, SEND, SENDTO, WRITEV, EPOLL_WAIT,
            EPOLL_CTL, READ, WRITE, PWRITE, PWRITEV, FSYNC, FDATASYNC, MSYNC, FTRUNCATE };

struct rule {
    int32_t active, call;
    int32_t error;      /* errno with which the call fails; 0: the call is made */
    int32_t port;       /* only sockets with this local or remote port; 0: any descriptor */
    int64_t skip;       /* number of matching calls before the rule applies */
    int64_t count;      /* number of matching calls after the skipped ones to which it applies */
    int32_t max_bytes;  /* maximum number of bytes that the call transfers; 0: no limit */
    int32_t delay_us;   /* delay before the call */
    int64_t seen, hits; /* counted by this library: matching calls, and those to which the rule applied */
};

struct control {
    int64_t wall_offset_ns; /* offset added to the wall clock */
    struct rule rules[MAX_RULES];
};

static struct control *control;

static void __attribute__((constructor)) load(void)
{
    const char *path = getenv("DECKLB_FAULTS");
    int fd = path ? open(path, O_RDWR | O_CLOEXEC) : -1;
    if (fd < 0)
        return;
    void *address = mmap(NULL, sizeof *control, PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    close(fd);
    if (address != MAP_FAILED)
        control = address;
}

static int port_of(const struct sockaddr_storage *address)
{
    return address->ss_family == AF_INET ? ntohs(((const struct sockaddr_in *)address)->sin_port) : 0;
}

static int has_port(int fd, int port, const struct sockaddr *target)
{
    struct sockaddr_storage address;
    socklen_t size = sizeof address;
    if (target && target->sa_family == AF_INET && ntohs(((const struct sockaddr_in *)target)->sin_port) == port)
        return 1;
    if (getsockname(fd, (struct sockaddr *)&address, &size) == 0 && port_of(&address) == port)
        return 1;
    size = sizeof address;
    return getpeername(fd, (struct sockaddr *)&address, &size) == 0 && port_of(&address) == port;
}

/* Applies all rules for a call. Returns 1 if the call has to fail, with errno set. May limit *size, and may sleep. */
static int apply_rules(enum call call, int fd, const struct sockaddr *target, size_t *size)
{
    int saved_errno = errno;
    for (int i = 0; control && i < MAX_RULES; i++) {
        struct rule *rule = &control->rules[i];
        if (!rule->active || rule->call != (int)call)
            continue;
        if (rule->port && !has_port(fd, rule->port, target))
            continue;
        int64_t number = __atomic_fetch_add(&rule->seen, 1, __ATOMIC_SEQ_CST);
        if (number < rule->skip || number >= rule->skip + rule->count)
            continue;
        __atomic_fetch_add(&rule->hits, 1, __ATOMIC_SEQ_CST);
        if (rule->delay_us)
            usleep(rule->delay_us);
        if (rule->max_bytes && size && *size > (size_t)rule->max_bytes)
            *size = rule->max_bytes;
        if (rule->error) {
            errno = rule->error;
            return 1;
        }
    }
    errno = saved_errno;
    return 0;
}

#define NEXT(name) \
    static __typeof__(name) *next; \
    if (!next) \
        next = (__typeof__(next))dlsym(RTLD_NEXT, #name)

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags)
{
    NEXT(accept4);
    return apply_rules(ACCEPT4, fd, NULL, NULL) ? -1 : next(fd, address, length, flags);
}

int connect(int fd, const struct sockaddr *address, socklen_t length)
{
    NEXT(connect);
    return apply_rules(CONNECT, fd, address, NULL) ? -1 : next(fd, address, length);
}

int socket(int domain, int type, int protocol)
{
    NEXT(socket);
    return domain == AF_INET && apply_rules(SOCKET, -1, NULL, NULL) ? -1 : next(domain, type, protocol);
}

int bind(int fd, const struct sockaddr *address, socklen_t length)
{
    NEXT(bind);
    return apply_rules(BIND, fd, address, NULL) ? -1 : next(fd, address, length);
}

int getsockopt(int fd, int level, int name, void *value, socklen_t *length)
{
    NEXT(getsockopt);
    return apply_rules(GETSOCKOPT, fd, NULL, NULL) ? -1 : next(fd, level, name, value, length);
}

int setsockopt(int fd, int level, int name, const void *value, socklen_t length)
{
    NEXT(setsockopt);
    return apply_rules(SETSOCKOPT, fd, NULL, NULL) ? -1 : next(fd, level, name, value, length);
}

ssize_t recv(int fd, void *data, size_t size, int flags)
{
    NEXT(recv);
    return apply_rules(RECV, fd, NULL, &size) ? -1 : next(fd, data, size, flags);
}

ssize_t recvfrom(int fd, void *data, size_t size, int flags, struct sockaddr *address, socklen_t *length)
{
    NEXT(recvfrom);
    return apply_rules(RECVFROM, fd, NULL, &size) ? -1 : next(fd, data, size, flags, address, length);
}

ssize_t send(int fd, const void *data, size_t size, int flags)
{
    NEXT(send);
    return apply_rules(SEND, fd, NULL, &size) ? -1 : next(fd, data, size, flags);
}

ssize_t sendto(int fd, const void *data, size_t size, int flags, const struct sockaddr *address, socklen_t length)
{
    NEXT(sendto);
    return apply_rules(SENDTO, fd, address, &size) ? -1 : next(fd, data, size, flags, address, length);
}

ssize_t writev(int fd, const struct iovec *parts, int count)
{
    NEXT(writev);
    return apply_rules(WRITEV, fd, NULL, NULL) ? -1 : next(fd, parts, count);
}

int epoll_wait(int fd, struct epoll_event *events, int max_events, int timeout)
{
    NEXT(epoll_wait);
    return apply_rules(EPOLL_WAIT, fd, NULL, NULL) ? -1 : next(fd, events, max_events, timeout);
}

int epoll_ctl(int fd, int operation, int target, struct epoll_event *event)
{
    NEXT(epoll_ctl);
    return apply_rules(EPOLL_CTL, target, NULL, NULL) ? -1 : next(fd, operation, target, event);
}

ssize_t read(int fd, void *data, size_t size)
{
    NEXT(read);
    return apply_rules(READ, fd, NULL, &size) ? -1 : next(fd, data, size);
}

ssize_t write(int fd, const void *data, size_t size)
{
    NEXT(write);
    return apply_rules(WRITE, fd, NULL, &size) ? -1 : next(fd, data, size);
}

ssize_t pwrite(int fd, const void *data, size_t size, off_t offset)
{
    NEXT(pwrite);
    return apply_rules(PWRITE, fd, NULL, &size) ? -1 : next(fd, data, size, offset);
}

ssize_t pwritev(int fd, const struct iovec *parts, int count, off_t offset)
{
    NEXT(pwritev);
    return apply_rules(PWRITEV, fd, NULL, NULL) ? -1 : next(fd, parts, count, offset);
}

int fsync(int fd)
{
    NEXT(fsync);
    return apply_rules(FSYNC, fd, NULL, NULL) ? -1 : next(fd);
}

int fdatasync(int fd)
{
    NEXT(fdatasync);
    return apply_rules(FDATASYNC, fd, NULL, NULL) ? -1 : next(fd);
}

int msync(void *address, size_t size, int flags)
{
    NEXT(msync);
    return apply_rules(MSYNC, -1, NULL, NULL) ? -1 : next(address, size, flags);
}

int ftruncate(int fd, off_t size)
{
    NEXT(ftruncate);
    return apply_rules(FTRUNCATE, fd, NULL, NULL) ? -1 : next(fd, size);
}

int clock_gettime(clockid_t clock, struct timespec *now)
{
    NEXT(clock_gettime);
    int result = next(clock, now);
    if (result == 0 && control && clock == CLOCK_REALTIME && control->wall_offset_ns) {
        int64_t shifted_ns = now->tv_sec * 1000000000LL + now->tv_nsec + control->wall_offset_ns;
        now->tv_sec = shifted_ns / 1000000000LL;
        now->tv_nsec = shifted_ns % 1000000000LL;
    }
    return result;
}

int gettimeofday(struct timeval *restrict now, void *restrict zone)
{
    struct timespec wall_time;
    int result = clock_gettime(CLOCK_REALTIME, &wall_time);
    (void)zone;
    now->tv_sec = wall_time.tv_sec;
    now->tv_usec = wall_time.tv_nsec / 1000;
    return result;
}

time_t time(time_t *result)
{
    struct timespec wall_time;
    clock_gettime(CLOCK_REALTIME, &wall_time);
    if (result)
        *result = wall_time.tv_sec;
    return wall_time.tv_sec;
}

/* Programs that are compiled with 64-bit file offsets call these names. */
ssize_t pwrite64(int, const void *, size_t, off64_t) __attribute__((alias("pwrite")));
ssize_t pwritev64(int, const struct iovec *, int, off64_t) __attribute__((alias("pwritev")));
int ftruncate64(int, off64_t) __attribute__((alias("ftruncate")));
