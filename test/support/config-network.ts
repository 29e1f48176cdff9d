/** A seeded exchange of configuration messages in memory: the real decisions of many processes, without I/O or time. */
import {chooseExchangePeer, chooseOfferPeers, chooseStartupPeers} from '../../src/configuration/choose-peers.ts';
import {ConfigurationReplica} from '../../src/configuration/configuration-replica.ts';
import {ConfigurationStore} from '../../src/configuration/configuration-store.ts';
import {type Peer, rankWatchers, assignWatch} from '../../src/configuration/watcher-rank.ts';
import {createRevision} from '../../src/ids/revision.ts';
import type {ConfigEntry, ConfigGetParams, ConfigVersion} from '../../src/messages/config-sync.ts';
import {RandomSource} from '../../src/runtime/random-source.ts';

type Message = {readonly to: string; readonly run: (node: SimNode) => void};

/** What happens in a run, besides the exchange itself. */
export type Step =
	| {readonly kind: 'publish'; readonly document: number; readonly isBad: boolean}
	| {readonly kind: 'restart' | 'kill' | 'cut'; readonly node: number}
	| {readonly kind: 'snapshot' | 'restore' | 'down' | 'up' | 'heal' | 'list'}
	| {readonly kind: 'exchange'; readonly turns: number};

/** The configuration service. */
export class SimService {
	isDown = false;
	revision = 0;
	entries = new Map<string, ConfigEntry>();
	private copy = {revision: 0, entries: new Map<string, ConfigEntry>()};
	private published = 0;

	publish(document: number, isBad: boolean): void {
		this.revision++;
		// Every fifth publication deletes; the running number tells two histories with the same revisions apart.
		this.published++;
		const value = this.published % 5 === 0 ? null : {weight: isBad ? -1 : this.published};
		const path = `/teams/team-${document}/limits`;
		this.entries.set(path, {path, revision: this.revision, value});
	}

	snapshot(): void {
		this.copy = {revision: this.revision, entries: new Map(this.entries)};
	}

	restore(): void {
		this.revision = this.copy.revision;
		this.entries = new Map(this.copy.entries);
	}

	read(after: number) {
		return {revision: createRevision(this.revision), entries: [...this.entries.values()].filter(entry => entry.revision > after)};
	}
}

class SimNode {
	readonly store = new ConfigurationStore();
	readonly replica = new ConfigurationReplica(this.store);
	/** Whether the process knows the VM list. */
	knowsList = true;
	isAlive = true;
	isCut = false;
	/** The highest revision that any answer named before a tree was in force. */
	heardAtStart = 0;
	exchanges = 0;

	constructor(readonly peer: Peer) {}
}

/** Many processes, one service, and the messages between them. */
export class ConfigNetwork {
	readonly service = new SimService();
	readonly nodes: SimNode[];
	/** Broken invariants. */
	readonly violations: string[] = [];
	/** Share of messages that are lost, in percent; as many are delivered twice. */
	lossPercent = 20;
	private readonly messages: Message[] = [];
	private readonly random: RandomSource;

	constructor(seed: number, zones: readonly number[]) {
		this.random = new RandomSource(seed);
		this.nodes = zones.flatMap((count, zone) => Array.from({length: count}, (_, at) => new SimNode({
			vm: `vm-${zone}-${at}`, zone: `zone-${zone}`, address: `10.0.${zone}.${at}:1`,
		})));
	}

	apply(step: Step): void {
		const actions: Record<Step['kind'], () => void> = {
			publish: () => {
				if (step.kind === 'publish') {
					this.service.publish(step.document, step.isBad);
				}
			},
			restart: () => {
				this.restart(step);
			},
			kill: () => {
				this.nodeOf(step).isAlive = false;
			},
			cut: () => {
				const {zone} = this.nodeOf(step).peer;
				for (const node of this.nodes) {
					node.isCut ||= node.peer.zone === zone;
				}
			},
			snapshot: () => {
				this.service.snapshot();
			},
			restore: () => {
				this.service.restore();
			},
			down: () => {
				this.service.isDown = true;
			},
			up: () => {
				this.service.isDown = false;
			},
			heal: () => {
				for (const node of this.nodes) {
					node.isCut = false;
				}
			},
			list: () => {
				for (const node of this.nodes) {
					node.knowsList = true;
				}
			},
			exchange: () => {
				this.exchange(step.kind === 'exchange' ? step.turns : 0);
			},
		};
		actions[step.kind]();
	}

	/** Ends all faults and lets the processes talk until nothing changes. */
	settle(rounds: number): void {
		this.lossPercent = 0;
		for (const step of ['up', 'heal', 'list'] as const) {
			this.apply({kind: step});
		}

		for (let round = 0; round < rounds; round++) {
			for (const node of this.alive) {
				this.readService(node, false);
				this.talk(node);
			}

			while (this.messages.length > 0) {
				this.deliver(0);
			}
		}
	}

	/** The living processes. */
	get alive(): SimNode[] {
		return this.nodes.filter(node => node.isAlive);
	}

	/** Restarts a process without its memory. */
	replace(at: number): SimNode {
		const old = this.nodes[at]!;
		const node = new SimNode(old.peer);
		node.isCut = old.isCut;
		this.nodes[at] = node;
		return node;
	}

	/** Lets a process read the service before it talks to any peer. */
	readWhole(node: SimNode): void {
		const question = node.replica.nextServiceRequest(0);
		node.replica.handleServiceResponse(question, this.service.read(question.after), 0);
	}

	private exchange(turns: number): void {
		for (let turn = 0; turn < turns; turn++) {
			const node = this.random.sample(this.alive, 1)[0];
			if (node) {
				[() => {
					this.readService(node, this.random.below(4) === 0);
				}, () => {
					this.talk(node);
				}][this.random.below(2)]?.();
			}

			for (let count = this.random.below(8); count > 0 && this.messages.length > 0; count--) {
				this.deliver(this.random.below(this.messages.length));
			}
		}
	}

	private restart(step: Step): void {
		const node = this.replace(this.nodes.indexOf(this.nodeOf(step)));
		node.knowsList = this.random.below(2) === 0;
		for (const peer of chooseStartupPeers(this.choiceOf(node), this.random)) {
			this.ask(node, peer);
		}
	}

	private nodeOf(step: Step): SimNode {
		return this.nodes['node' in step ? step.node % this.nodes.length : 0]!;
	}

	private choiceOf(node: SimNode) {
		const peers = node.knowsList ? this.nodes.map(({peer}) => peer).filter(({vm}) => vm !== node.peer.vm) : [];
		return {zone: node.peer.zone, peers, isUnreachable: () => false};
	}

	private isWatcher(node: SimNode): boolean {
		const ranking = rankWatchers(node.peer, this.choiceOf(node).peers);
		return assignWatch(node.peer.vm, ranking, vm => !this.nodes.some(other => other.peer.vm === vm && other.isAlive)).role === 'watcher';
	}

	private readService(node: SimNode, isDirect: boolean): void {
		if (node.isCut || !(isDirect || this.isWatcher(node))) {
			return;
		}

		const question = node.replica.nextServiceRequest(0);
		if (this.service.isDown) {
			node.replica.handleServiceFailure();
			return;
		}

		const answer = this.service.read(question.after);
		this.post(node.peer.vm, ({replica}) => {
			replica.handleServiceResponse(question, answer, 0);
		});
	}

	private talk(node: SimNode): void {
		const peer = chooseExchangePeer(this.choiceOf(node), node.exchanges++, this.random);
		if (peer) {
			this.ask(node, peer);
		}
	}

	private ask(node: SimNode, peer: Peer): void {
		const own = node.store.version;
		this.post(peer.vm, other => {
			this.hear(other, node.peer.vm, own);
			const theirs = other.store.version;
			this.post(node.peer.vm, asker => {
				this.hear(asker, peer.vm, theirs);
			}, other);
		}, node);
	}

	private hear(node: SimNode, from: string, theirs: ConfigVersion): void {
		if (node.store.revision === 0) {
			node.heardAtStart = Math.max(node.heardAtStart, theirs.revision);
		}

		const params = node.replica.handlePeerVersion(theirs);
		if (params) {
			this.get(node, from, params);
		}
	}

	private get(node: SimNode, from: string, params: ConfigGetParams): void {
		this.post(from, other => {
			const result = other.replica.handleGet(params);
			this.post(node.peer.vm, asker => {
				const next = asker.replica.handleGetResult(params, result);
				if (next) {
					this.get(asker, from, next);
				}
			}, other);
		}, node);
	}

	private post(to: string, run: Message['run'], from?: SimNode): void {
		const target = this.nodes.find(({peer}) => peer.vm === to);
		const isCut = from !== undefined && target !== undefined && from.peer.zone !== target.peer.zone && (from.isCut || target.isCut);
		if (isCut || this.random.below(100) < this.lossPercent) {
			return;
		}

		this.messages.push({to, run});
		if (this.random.below(100) < this.lossPercent) {
			this.messages.push({to, run});
		}
	}

	private deliver(at: number): void {
		const [message] = this.messages.splice(at, 1);
		const node = this.nodes.find(({peer}) => peer.vm === message?.to);
		if (!message || !node?.isAlive) {
			return;
		}

		const before = node.store.revision;
		message.run(node);
		const {revision} = node.store;
		if (revision < before) {
			this.violations.push(`${node.peer.vm} went from ${before} back to ${revision}`);
		}

		if (before === 0 && revision > 0 && revision < node.heardAtStart) {
			this.violations.push(`${node.peer.vm} started with ${revision} below ${node.heardAtStart}`);
		}

		if (revision !== before) {
			const {version} = node.store;
			for (const peer of chooseOfferPeers(this.choiceOf(node), this.isWatcher(node), this.random)) {
				this.post(peer.vm, other => {
					this.hear(other, node.peer.vm, version);
				}, node);
			}
		}
	}
}
